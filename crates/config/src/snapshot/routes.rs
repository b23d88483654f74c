//! Index of routes by path.

use {super::RouteEntry, agate_core::RouteId, indexmap::IndexMap, std::sync::Arc};

/// Routes in document order, with a table by path.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    routes: Vec<RouteEntry>,
    paths: IndexMap<Arc<str>, RouteId>,
    /// Length of the longest prefix route, in bytes.
    max_prefix: usize,
}

impl RouteIndex {
    pub fn new(routes: Vec<RouteEntry>) -> Self {
        let mut index = Self::default();
        for (i, route) in routes.iter().enumerate() {
            // The first of two equal paths wins. The verifier refuses such documents.
            index.paths.entry(route.path.clone()).or_insert(i as RouteId);
            if route.path.ends_with('/') {
                index.max_prefix = index.max_prefix.max(route.path.len());
            }
        }
        index.routes = routes;
        index
    }

    pub fn get(&self, id: RouteId) -> Option<&RouteEntry> {
        self.routes.get(id as usize)
    }

    pub fn iter(&self) -> impl Iterator<Item = (RouteId, &RouteEntry)> {
        self.routes.iter().enumerate().map(|(i, r)| (i as RouteId, r))
    }

    /// Finds the route of a path. The cost is bounded by the longest configured prefix, not by the
    /// length of `path`.
    pub fn find(&self, path: &str) -> Option<(RouteId, &RouteEntry)> {
        if let Some(id) = self.paths.get(path) {
            return Some((*id, &self.routes[*id as usize]));
        }
        let head = &path.as_bytes()[..path.len().min(self.max_prefix)];
        let ends = (0..head.len()).rev().filter(|&i| head[i] == b'/');
        let id = ends.filter_map(|i| self.paths.get(&path[..=i])).next()?;
        Some((*id, &self.routes[*id as usize]))
    }
}
