//! Authority through leases with fencing tokens held in the platform's store.
