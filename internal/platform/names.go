// Package platform implements the deployment platform's protocol: HTTP/1.1 over plain TCP with clients, workers and
// discovery, and UDP datagrams with peers. It converts incoming messages to jobs, reports and endpoint updates for
// package core, and makes no scheduling decisions.
//
// A Platform owns the clients' connections (clientServer, clientConn), the connections to workers with the attempts
// in flight on them (workerPool, attempt), the endpoint list with the watch on discovery (endpointWatch,
// endpointTable) and the socket to peers (peers). Each of them guards its state with its own mutex.
package platform

// The header, query, label, path and state names of the protocol.
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

// Size limits of messages, in bytes.
const (
	maxBodyBytes     = 64 << 10
	maxHeadBytes     = 16 << 10
	maxKeyBytes      = 255                           // of an idempotency key
	maxIDBytes       = 255                           // of a job's id
	maxResponseBytes = maxHeadBytes + 2*maxBodyBytes // of a worker's complete answer, including its framing
)

// maxHeaderLines is the maximum number of lines of a message's head.
const maxHeaderLines = 128
