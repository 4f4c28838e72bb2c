package cells

import (
	"fmt"
	"testing"
)

// largeFleet returns a plan and workers of the largest supported size: 10,000 workers, 1,000 tenants and 100
// cells.
func largeFleet(b testing.TB) (*Plan, []Worker) {
	s := equalCellsSpec(100)
	var tenants []Tenant
	for i := range 1000 {
		name := fmt.Sprint("tenant-", i)
		tenants = append(tenants, Tenant{name, float64(1 + i%7)})
		s.Cells[i%100].Tenants = append(s.Cells[i%100].Tenants, name)
	}
	s.Weights = map[string]float64{"l": 5.6, "m": 2.9, "o": 3}
	s.WorkersPerKey = 3
	p, specErrors := NewPlan(s, tenants, 2, []string{"l", "m", "o"})
	if specErrors != nil {
		b.Fatal(specErrors)
	}
	var list []Worker
	for i := range 10000 {
		list = append(list, Worker{fmt.Sprintf("s-%08x", mix(uint64(i))>>32), int(mix(uint64(i)) % 2), i % 3})
	}
	return p, list
}

// BenchmarkCompleteLayout computes a layout of all workers from scratch.
func BenchmarkCompleteLayout(b *testing.B) {
	p, list := largeFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		NewLayout(p).WithChanges(NewAssigner(p).Update(list))
	}
}

// BenchmarkOneWorker removes one worker from the layout, or adds it again.
func BenchmarkOneWorker(b *testing.B) {
	p, list := largeFleet(b)
	a := NewAssigner(p)
	layout := NewLayout(p).WithChanges(a.Update(list))
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		worker := list[i/2%len(list)]
		if i%2 == 0 {
			layout = layout.WithChanges(a.Remove(worker.ID))
		} else {
			layout = layout.WithChanges(a.Add(worker))
		}
		i++
	}
}

// BenchmarkLookup looks up the cell of a job, the cell of a worker, and the workers of an affinity key.
func BenchmarkLookup(b *testing.B) {
	p, list := largeFleet(b)
	layout := NewLayout(p).WithChanges(NewAssigner(p).Update(list))
	b.Run("cell", func(b *testing.B) {
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			layout.Cell(i%1000, uint64(i))
			i++
		}
	})
	b.Run("node", func(b *testing.B) {
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			layout.WorkerCell(list[i%len(list)].ID)
			i++
		}
	})
	b.Run("key", func(b *testing.B) {
		b.ReportAllocs()
		i := uint64(0)
		for b.Loop() {
			i++
			layout.KeyWorkers(7, i)
		}
	})
}
