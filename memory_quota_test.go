package foxlift

import "testing"

// Guards against a tenant whose requests take all memory for requests: one tenant alone gets at most two thirds,
// and others still get some of the rest.
func TestMemoryQuotaLeavesMemoryToOtherTenants(t *testing.T) {
	const limit, request = 3000, 10
	q := NewMemoryQuota(limit)
	fill := func(tenant string) (bytes int64) {
		for q.Reserve(tenant, request) {
			bytes += request
		}
		return bytes
	}
	flood := fill("flood")
	if flood < limit/2 || flood > 2*limit/3 {
		t.Errorf("one tenant alone gets %d bytes of %d, want a half to two thirds", flood, limit)
	}
	other := fill("other")
	if other < limit/5 || q.Used() != flood+other || q.Used() > limit {
		t.Errorf("the second tenant gets %d bytes, %d of %d are in use; want at least a fifth and the sum",
			other, q.Used(), limit)
	}
	if q.Reserve("flood", request) {
		t.Error("Reserve() = true for the first tenant past its share, want false")
	}
	q.Release("flood", flood)
	q.Release("other", other)
	if q.Used() != 0 || len(q.byTenant) != 0 {
		t.Errorf("%d bytes of %d tenants are in use after the release, want 0 of 0", q.Used(), len(q.byTenant))
	}
	if q.SetLimit(request - 1); q.Reserve("flood", request) {
		t.Error("Reserve() = true beyond the limit, want false")
	}
}
