package gateway

import (
	"gannetspur/internal/handover"
	"gannetspur/internal/netio"
)

// protocol covers the differences between the platform's protocol and PostgreSQL: frontend, backend and discovery.
type protocol interface {
	frontend() frontend
	// listen starts to accept clients.
	listen() error
	// watchEndpoints starts to watch the endpoint list. known is the state of the process that this one continues from; nil
	// means that there is none.
	watchEndpoints(known *handover.ProcessState)
	// lastEvent returns the number of the last event of the endpoint list; 0 means that events have no numbers.
	lastEvent() uint64
	// reloadable reports whether the configuration has anything that reload could change.
	reloadable() bool
	// reload applies the settings that may change at run time. A file with errors changes nothing.
	reload() error
}

// frontend is the part of a client-side protocol implementation that the process uses.
type frontend interface {
	handover.Frontend
	// ListenOn uses a listener that is already open.
	ListenOn(*netio.Listener)
	// Addr returns the address that clients connect to.
	Addr() string
	// CloseListener stops accepting connections.
	CloseListener()
	// Drain closes each connection as soon as nothing is open on it.
	Drain()
	// Idle reports whether no client waits for anything.
	Idle() bool
}
