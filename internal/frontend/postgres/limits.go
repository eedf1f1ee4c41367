package postgres

import "time"

// Sizes, in bytes.
const (
	maxMessageSize      = 1 << 20
	maxLoginMessageSize = 4 << 10                 // before the client is authenticated
	maxReadBuffer       = maxMessageSize + 64<<10 // received data that is not consumed yet
	// maxPendingWrite is the size of unsent output above which no more messages are read. It guards
	// against a client that sends statements and does not read the answers.
	maxPendingWrite = 1 << 20
	// maxKeptOutputBuffer is the capacity above which an output buffer is freed once it is written.
	maxKeptOutputBuffer = 64 << 10
	// defaultMaxHeldBytes limits the unsent rows of all open portals if Options.MaxHeldBytes is not set.
	defaultMaxHeldBytes = 32 << 20
	// defaultMaxClientBytes limits what all clients make the frontend keep if Options.MaxClientBytes is not set.
	defaultMaxClientBytes = 20 << 20
	maxSettingSize        = 4 << 10 // the text of one SET
)

// Counts, per connection unless stated otherwise.
const (
	maxParameters = 65535 // per statement: the protocol's limit
	maxStatements = 1000  // prepared statements
	maxPortals    = 1000
	maxSettings   = 64 // settings kept by SET
	// maxQueryStatements is the maximum number of statements in one Query. It bounds the time for which the
	// statements of one message are read.
	maxQueryStatements = 1000
	// spareConnections may be open in addition to Options.MaxClients, so that CancelRequests get through
	// and further clients receive an error.
	spareConnections = 16
)

// Timeouts.
const (
	startupTimeout = 2 * time.Second // from accept to the end of the startup; also for a TLS handshake
	// stallTimeout limits the wait for the rest of an incomplete message.
	stallTimeout                  = 2 * time.Second
	defaultIdleTransactionTimeout = 10 * time.Second
	defaultTransactionTimeout     = 60 * time.Second
)
