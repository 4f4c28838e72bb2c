// Package platform speaks the deployment platform's protocol: HTTP/1.1 over plain TCP with clients, workers and
// discovery, and UDP datagrams with peers. It turns what comes in into the core's jobs, reports and endpoint
// updates, and makes no scheduling decision.
//
// A Platform owns the clients' connections (clientServer, clientConn), the connections to workers with the attempts
// in flight on them (workerPool, attempt), the endpoint list with the watch on discovery (endpointWatch,
// endpointTable) and the peers' socket (peers). Each of them guards its state by a mutex of its own.
package platform

// The names that the protocol uses, all in this file.
const (
	headerID         = "X-Txn"
	headerClass      = "X-Lane"
	headerTenant     = "X-Org"
	headerRemaining  = "X-Remaining"
	headerRetry      = "X-Resent"
	headerLabels     = "X-Labels"
	headerKey        = "Idempotency-Key"
	headerLoad       = "X-Pressure"
	headerRejected   = "X-Turned-Away"
	headerRetryAfter = "Retry-After"

	queryKey   = "user"
	queryIndex = "index"
	queryWait  = "wait"

	labelSlots  = "slots"
	labelMemory = "memory"

	pathHealth  = "/_health"
	pathPing    = "/ping"
	pathLoad    = "/_load"
	pathMembers = "/catalog/members"

	stateStarted  = "started"
	stateRunning  = "running"
	stateDone     = "done"
	stateFailed   = "failed"
	stateReturned = "returned"
	stateLost     = "lost"

	healthActive  = "active"
	healthLeaving = "leaving"
	healthRemoved = "left"
)

// The sizes that the protocol allows, and what else is read at most.
const (
	maxBodyBytes     = 64 << 10
	maxHeadBytes     = 16 << 10
	maxKeyBytes      = 255                           // bytes of an idempotency key
	maxResponseBytes = maxHeadBytes + 2*maxBodyBytes // a complete answer of a worker, framing included
)
