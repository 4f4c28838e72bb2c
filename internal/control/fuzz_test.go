package control

import (
	"context"
	"sync"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/vatu-meals/foxlift/internal/control/controlpb"
	"github.com/vatu-meals/foxlift/internal/fuzz"
)

var (
	fuzzOnce   sync.Once
	fuzzServer *Server
)

// sharedFuzzServer returns one server for all inputs, so that each call runs on the state that earlier calls left.
func sharedFuzzServer(t testing.TB) *Server {
	fuzzOnce.Do(func() { fuzzServer = newServer(t) })
	return fuzzServer
}

// checkCall checks that any bytes that decode as a request yield either a change or an error with an expected gRPC
// code, and that no tenant or worker is lost.
func checkCall(t testing.TB, data []byte) {
	s, ctx := sharedFuzzServer(t), context.Background()
	var errs []error
	call := func(m proto.Message, do func() error) {
		if proto.Unmarshal(data, m) == nil {
			errs = append(errs, do())
		}
	}
	var move controlpb.MoveRequest
	var evacuate controlpb.EvacuateRequest
	var restore controlpb.RestoreRequest
	call(&move, func() error { return errorOf(s.Move(ctx, &move)) })
	call(&evacuate, func() error { return errorOf(s.Evacuate(ctx, &evacuate)) })
	call(&restore, func() error { return errorOf(s.Restore(ctx, &restore)) })
	for _, err := range errs {
		switch status.Code(toStatusError(err)) {
		case codes.OK, codes.NotFound, codes.FailedPrecondition:
		default:
			t.Fatalf("call with %q: error %v, want code OK, NotFound or FailedPrecondition", data, err)
		}
	}
	r, err := s.Cells(ctx, &controlpb.CellsRequest{})
	if err != nil {
		t.Fatalf("Cells() after a call with %q: error %v, want nil", data, err)
	}
	tenants, workers := 0, 0
	for _, c := range r.Cells {
		tenants += len(c.Tenants)
		workers += len(c.Nodes)
	}
	if tenants != 2 || workers != 8 {
		t.Fatalf("Cells() after a call with %q: %d tenants and %d workers, want 2 and 8", data, tenants, workers)
	}
}

// callSeeds returns encoded requests, and bytes that are not valid requests.
func callSeeds() (seeds [][]byte) {
	for _, m := range []proto.Message{
		&controlpb.MoveRequest{Tenant: "t", Cell: "b"},
		&controlpb.MoveRequest{Tenant: "t", Cell: "a"},
		&controlpb.MoveRequest{Tenant: "u", Cell: "a"},
		&controlpb.EvacuateRequest{Cell: "a"},
		&controlpb.EvacuateRequest{Cell: "b"},
		&controlpb.RestoreRequest{},
		&controlpb.RestoreRequest{Tenant: "t"},
		&controlpb.RestoreRequest{Cell: "b"},
		&controlpb.MoveRequest{},
	} {
		b, _ := proto.Marshal(m)
		seeds = append(seeds, b)
	}
	return append(seeds, []byte("\xff\xff\xff\xff\xff"), []byte("\x0a\x01t\x12\x01b\x1a\x00"))
}

// FuzzCall runs checkCall on fuzzed bytes.
func FuzzCall(f *testing.F) {
	for _, s := range callSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkCall(t, data) })
}

// TestFuzzCall runs checkCall on mutations of the seeds from a fixed seed.
func TestFuzzCall(t *testing.T) { fuzz.Run(t, 31, 3000, callSeeds(), checkCall) }
