package lab

import (
	"fmt"
	"io"
)

// MeasureLoops measures how splitting a fleet into more cells affects the latency loops, which need a minimum number of
// finished jobs. It simulates the same traffic and workers in virtual time, split evenly over 1, 2, 4, 8 and 16
// dispatchers. It prints the percentage of class-seconds with at least minJobsForUpdate finished jobs, and the
// percentage of the jobs, all within their tenant's quota, that were served in time. seconds is the virtual duration of
// each simulation. It returns an error only if a simulation cannot be started.
func MeasureLoops(w io.Writer, seed uint64, seconds int) error {
	fmt.Fprintln(w, "jobs/s  load  cells  jobs/s a cell  class-seconds with 6 jobs  served in time")
	for _, rate := range []float64{30, 60, 240} {
		for _, load := range []float64{0.7, 1.2} {
			for _, cells := range []int{1, 2, 4, 8, 16} {
				mean, err := simulateCells(cells, rate, load, seed, seconds)
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "%6.0f  %4.1f  %5d  %13.2f  %24.1f %%  %12.1f %%\n",
					rate, load, cells, rate/float64(cells), 100*mean.updateFraction, 100*mean.inTimeFraction)
			}
		}
	}
	return nil
}

// simulateCells splits a rate of jobs evenly over a number of cells and returns the mean of the cells' results.
func simulateCells(cells int, rate, load float64, seed uint64, seconds int) (mean cellResult, err error) {
	for cell := range cells {
		s, err := newCellSimulation(rate/float64(cells), load, seed+uint64(cell)*1000)
		if err != nil {
			return cellResult{}, err
		}
		result := s.run(seconds)
		mean.updateFraction += result.updateFraction / float64(cells)
		mean.inTimeFraction += result.inTimeFraction / float64(cells)
	}
	return mean, nil
}
