package foxlift

import (
	"os"
	"os/exec"
	"regexp"
	"testing"
)

// fusedOperation matches the listing of an arm64 instruction that rounds a product and a sum once, with its place in
// the source.
var fusedOperation = regexp.MustCompile(`\(\S*/(\S+\.go:\d+)\)\s+FN?M(?:ADD|SUB)[DS]\s`)

// fusedOperations returns the places in packages where the compiler for arm64 fuses a product and a sum.
func fusedOperations(t *testing.T, packages ...string) (places []string) {
	t.Helper()
	arguments := append([]string{"build", "-gcflags=-S"}, packages...)
	build := exec.CommandContext(t.Context(), "go", arguments...)
	build.Env = append(os.Environ(), "GOFLAGS=-buildvcs=false", "GOOS=linux", "GOARCH=arm64", "CGO_ENABLED=0")
	listing, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v\n%s", err, listing)
	}
	for _, match := range fusedOperation.FindAllSubmatch(listing, -1) {
		places = append(places, string(match[1]))
	}
	return places
}

// Guards against schedulers on different processors that decide differently from the same events: see
// docs/design/arithmetic.md.
func TestNoFusedArithmetic(t *testing.T) {
	packages := []string{".", "./internal/decision/...", "./internal/cells", "./internal/core", "./internal/slowstart"}
	if places := fusedOperations(t, packages...); len(places) > 0 {
		t.Errorf("products that are rounded together with a sum: %v, want none: convert the product to float64", places)
	}
	if places := fusedOperations(t, "./testdata/fused"); len(places) != 1 || places[0] != "fused.go:5" {
		t.Errorf("fusedOperations(testdata/fused) = %v, want fused.go:5", places)
	}
}
