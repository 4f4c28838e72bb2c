package soak

import "github.com/vatu-meals/foxlift/internal/lab"

// Mutants are the faults that prove that the soak detects violations, two for each rule.
var Mutants = []Mutant{
	{
		ViolationCount: drain,
		Mutant: lab.Mutant{
			Name: "a cached endpoint list is trusted at once",
			File: "internal/decision/membership/lease.go",
			Old:  "l.duration == 0 || now < l.expiresAt",
			New:  "!l.confirmed || now < l.expiresAt",
		},
	},
	{
		ViolationCount: drain,
		Mutant: lab.Mutant{
			Name: "drains are ignored",
			File: "internal/platform/endpoint_table.go",
			Old:  "state := workerStates[entry.Health]",
			New: "state := workerStates[entry.Health]\n" +
				"\t\tif state == foxlift.Draining {\n" +
				"\t\t\tstate = foxlift.Live\n" +
				"\t\t}",
		},
	},
	{
		ViolationCount: drain,
		Mutant: lab.Mutant{
			Name: "unanswered attempts continue at removed workers",
			File: "internal/platform/in_flight.go",
			Old:  "if state == foxlift.Live {",
			New:  "if true {",
		},
	},
	{
		ViolationCount: lost,
		Mutant: lab.Mutant{
			Name: "some answers are never written",
			File: "internal/platform/client_reply.go",
			Old:  "\t_, err := c.conn.Write(response)\n",
			New:  "\tif len(response)%7 == 0 {\n\t\treturn false\n\t}\n\t_, err := c.conn.Write(response)\n",
		},
	},
	{
		ViolationCount: lost,
		Mutant: lab.Mutant{
			Name: "shutdown waits for no job",
			File: "internal/platform/shutdown.go",
			Old:  "\tp.clients.shutDown(acceptAfterShutdown, closeIdleAfter)\n\tp.core.Stop()",
			New: "\tgo p.clients.shutDown(acceptAfterShutdown, closeIdleAfter)\n" +
				"\ttime.Sleep(acceptAfterShutdown / 4)\n" +
				"\tp.core.Stop()",
		},
	},
	{
		ViolationCount: duplicate,
		Mutant: lab.Mutant{
			Name: "a reset attempt counts as never run",
			File: "api.go",
			Old:  "c == Unreachable || c == NotSent }",
			New:  "c == Unreachable || c == NotSent || c == Reset }",
		},
	},
	{
		ViolationCount: duplicate,
		Mutant: lab.Mutant{
			Name: "a timed-out attempt counts as never run",
			File: "api.go",
			Old:  "c == Unreachable || c == NotSent }",
			New:  "c == Unreachable || c == NotSent || c == DeadlineExceeded || c == Cancelled || c == Reset }",
		},
	},
	{
		ViolationCount: disconnected,
		Mutant: lab.Mutant{
			Name: "a client's disconnect is not detected",
			File: "internal/platform/client_conn.go",
			Old:  "\t\t\tc.server.core.ClientDisconnected(job)\n",
			New:  "\t\t\tjob.Client = nil\n",
		},
	},
	{
		ViolationCount: disconnected,
		Mutant: lab.Mutant{
			Name: "a client's disconnect is detected late",
			File: "internal/platform/client_conn.go",
			Old:  "\t\t\tjob.MarkDisconnected()\n\t\t\tc.server.core.ClientDisconnected(job)\n",
			New: "\t\t\tjob.Client = nil\n" +
				"\t\t\ttime.Sleep(400 * time.Millisecond)\n" +
				"\t\t\tc.server.core.ClientDisconnected(job)\n",
		},
	},
	{
		ViolationCount: deadline,
		Mutant: lab.Mutant{
			Name: "workers are sent a second too much remaining time",
			File: "internal/platform/attempt.go",
			Old:  "formatRemaining(remaining)",
			New:  "formatRemaining(remaining+time.Second)",
		},
	},
	{
		ViolationCount: deadline,
		Mutant: lab.Mutant{
			Name: "queueing time is not subtracted from the remaining time",
			File: "internal/core/send.go",
			Old:  "Remaining: remaining,",
			New:  "Remaining: j.Remaining,",
		},
	},
	{
		ViolationCount: startOverload,
		Mutant: lab.Mutant{
			Name: "workers in slow start count as warm",
			File: "internal/decision/health/slow_start.go",
			Old:  "return w.startedAt != 0 && now-w.startedAt < s.config.Duration",
			New:  "return false",
		},
	},
	{
		ViolationCount: startOverload,
		Mutant: lab.Mutant{
			Name: "worker starts are ignored",
			File: "endpoints.go",
			Old:  "if w.warmup.StartedAt() != e.StartedAt {",
			New:  "if false {",
		},
	},
}
