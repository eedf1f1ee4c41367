package postgres

import "time"

// Sizes, in bytes.
const (
	maxMessageSize      = 1 << 20
	maxLoginMessageSize = 4 << 10 // of a client that is not authenticated
	maxReadBuffer       = maxMessageSize + 64<<10
	// maxPendingWrite is how much may wait to be sent before no more messages are read. Guards
	// against a client that asks and does not read.
	maxPendingWrite     = 1 << 20
	maxKeptOutputBuffer = 64 << 10
	// defaultMaxHeldBytes bounds the rows of all open portals where the options don't.
	defaultMaxHeldBytes = 32 << 20
	maxSettingSize      = 4 << 10 // the text of one SET
)

// Numbers, of one connection unless another scope is named.
const (
	maxParameters = 65535 // of one statement: the protocol's limit
	maxStatements = 1000
	maxPortals    = 1000
	maxSettings   = 64
	// spareConnections may be open past the limit on clients, to cancel or to be rejected.
	spareConnections = 16
)

const (
	startupTimeout = 2 * time.Second
	// stallTimeout bounds the silence in the middle of a message.
	stallTimeout                  = 2 * time.Second
	defaultIdleTransactionTimeout = 10 * time.Second
	defaultTransactionTimeout     = 60 * time.Second
)
