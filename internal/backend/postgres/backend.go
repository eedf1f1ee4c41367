// Package postgres runs attempts on engines that speak the PostgreSQL wire protocol:
// one attempt at a time on a connection, which is used again.
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
	// MaxResultBytes bounds the rows of one result, which is held until it is complete.
	MaxResultBytes = 4 << 20
	// defaultMaxBufferedBytes and defaultConnectTimeout apply where the options have none.
	defaultMaxBufferedBytes = 48 << 20
	defaultConnectTimeout   = time.Second
)

// Options configure how the backend connects to engines.
type Options struct {
	User, Database   string
	Password         string          // for engines that require SCRAM-SHA-256; "": none
	TLS              *tls.Config     // nil: connections are not encrypted; else an engine that declines is not used
	ConnectTimeout   time.Duration   // for the connection and its startup together
	Pool             connpool.Limits // of the connections to each engine
	MaxBufferedBytes int             // of the rows of all results that are being received
}

var (
	_ core.Backend          = (*Backend)(nil)
	_ core.StreamingBackend = (*Backend)(nil)
)

// Backend holds the connections to all engines.
type Backend struct {
	loop          *netio.Loop
	core          *core.Core
	options       Options
	counters      *metrics.Counters
	log           *slog.Logger
	engines       *backend.EngineSet[*connection]
	pools         map[string]*enginePool // by engine ID
	bufferedBytes int                    // of the rows that are being received
	scramClient   *scram.Client          // caches what it has computed for each engine's salt; nil: no password
}

// New returns a backend that reports to the core.
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
		if err != nil { // the text can't be a password: engines will reject it
			log.Error("engine.password", "error", err)
		}
		b.scramClient = client
	}
	return b
}

// Continue runs the next statement of a transaction on its connection.
func (b *Backend) Continue(a *core.Attempt) {
	c, ok := a.BackendState.(*connection)
	if !ok || c.query.attempt != a || c.socket == nil { // the end of the connection is about to end the attempt
		return
	}
	c.resetResponse()
	c.writeStatement()
}

// SetPriority does nothing: the protocol has no priorities.
func (b *Backend) SetPriority(*core.Attempt, int) {}
