package foxlift

// freeMemoryFactor is how many times the free memory the requests of one tenant may take. With 2, one tenant
// alone can take two thirds of the memory, and two can take two fifths each.
const freeMemoryFactor = 2

// A MemoryQuota decides which requests are held in memory. It bounds the memory of all of them together, and
// that of each tenant by a dynamic threshold (Choudhury and Hahne, "Dynamic queue length thresholds for
// shared-memory packet switches", 1998): the less memory is free, the less a tenant may take, so that a flood
// from one tenant leaves memory to the others. It is not safe for concurrent use.
type MemoryQuota struct {
	limit    int64 // in bytes
	used     int64
	byTenant map[string]int64 // memory in use; only tenants that use some
}

// NewMemoryQuota returns a quota with a limit in bytes of which nothing is in use.
func NewMemoryQuota(limit int64) *MemoryQuota {
	return &MemoryQuota{limit: limit, byTenant: map[string]int64{}}
}

// SetLimit changes the limit. What is in use stays so, even beyond the new limit.
func (q *MemoryQuota) SetLimit(limit int64) { q.limit = limit }

// Used returns the bytes in use.
func (q *MemoryQuota) Used() int64 { return q.used }

// Reserve takes bytes for a request of a tenant, and returns whether they are available.
func (q *MemoryQuota) Reserve(tenant string, bytes int64) bool {
	free := q.limit - q.used - bytes
	if free < 0 || q.byTenant[tenant]+bytes > freeMemoryFactor*free {
		return false
	}
	q.used += bytes
	q.byTenant[tenant] += bytes
	return true
}

// Release gives back bytes that were reserved for a tenant.
func (q *MemoryQuota) Release(tenant string, bytes int64) {
	q.used -= bytes
	if q.byTenant[tenant] -= bytes; q.byTenant[tenant] <= 0 {
		delete(q.byTenant, tenant)
	}
}
