// Package postgres runs attempts on engines that speak the PostgreSQL wire protocol. It pools the
// connections to each engine; a connection runs one attempt at a time.
package postgres

import (
	"crypto/tls"
	"log/slog"
	"time"

	"gannetspur/internal/backend"
	"gannetspur/internal/core"
	"gannetspur/internal/decide/connpool"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"

	"github.com/xdg-go/scram"
)

const (
	// MaxResultBytes is the maximum size in bytes of the rows of one result. A result is buffered until it is complete.
	MaxResultBytes = 4 << 20
	// defaultMaxBufferedBytes and defaultConnectTimeout replace options that are zero or negative.
	defaultMaxBufferedBytes = 48 << 20
	defaultConnectTimeout   = time.Second
)

// Options configures how the backend connects to engines.
type Options struct {
	User, Database   string          // sent to engines in the startup message
	Password         string          // for engines that require SCRAM-SHA-256; empty if there is none
	TLS              *tls.Config     // nil disables encryption; otherwise an engine that declines TLS is not used
	ConnectTimeout   time.Duration   // maximum time for connecting and the startup together; 0 means 1 s
	Pool             connpool.Limits // limits for the connections to each engine
	MaxBufferedBytes int             // maximum size of the rows of all incomplete results together; 0 means 48 MiB
}

var (
	_ core.Backend          = (*Backend)(nil)
	_ core.StreamingBackend = (*Backend)(nil)
)

// Backend runs attempts on pooled connections to all engines.
type Backend struct {
	loop          *netio.Loop
	core          *core.Core
	options       Options
	counters      *metrics.Counters
	log           *slog.Logger
	engines       *backend.EngineSet[*connection]
	pools         map[string]*enginePool // by engine ID
	bufferedBytes int                    // size of the rows of all incomplete results
	scramClient   *scram.Client          // caches the keys derived for each engine's salt; nil without a usable password
}

// New returns a backend that reports the results and ends of attempts to c.
func New(loop *netio.Loop, c *core.Core, options Options, counters *metrics.Counters, log *slog.Logger) *Backend {
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	if options.MaxBufferedBytes <= 0 {
		options.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	b := &Backend{
		loop: loop, core: c, options: options, counters: counters, log: log,
		engines: backend.NewEngineSet[*connection](),
		pools:   map[string]*enginePool{},
	}
	if options.Password != "" {
		client, err := scram.SHA256.NewClient("", options.Password, "")
		if err != nil { // the password contains prohibited characters; connections to engines that require a password will fail
			log.Error("engine.password", "error", err)
		}
		b.scramClient = client
	}
	return b
}

// Continue runs the next statement of a transaction on its connection.
func (b *Backend) Continue(a *core.Attempt) {
	c, ok := a.BackendState.(*connection)
	if !ok || c.query.attempt != a || c.socket == nil { // the connection has ended, which has ended the attempt or is about to
		return
	}
	c.resetResponse()
	c.writeStatement()
}

// SetPriority does nothing because the protocol has no priorities.
func (b *Backend) SetPriority(*core.Attempt, int) {}
