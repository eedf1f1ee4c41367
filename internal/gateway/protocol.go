package gateway

import (
	"gannetspur/internal/handover"
	"gannetspur/internal/netio"
)

// protocol is what the platform's protocol and PostgreSQL's differ in: their frontend, their backend and their discovery.
type protocol interface {
	frontend() frontend
	// listen opens the clients' listener.
	listen() error
	// watchEndpoints begins to watch the endpoint list. known is what another process had of it; nil: nothing.
	watchEndpoints(known *handover.ProcessState)
	// lastEvent is the number of the last event of the endpoint list; 0: its events have none.
	lastEvent() uint64
	// reloadable reports whether the file names anything that reload would take.
	reloadable() bool
	// reload takes what may change from the file. A file that can't be used changes nothing.
	reload() error
}

// frontend is what the process needs of the clients' side.
type frontend interface {
	handover.Frontend
	ListenOn(*netio.Listener)
	Addr() string
	CloseListener()
	Drain()
	Idle() bool
}
