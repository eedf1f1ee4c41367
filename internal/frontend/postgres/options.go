package postgres

import (
	"crypto/tls"
	"time"

	"gannetspur/internal/queryshape"
	"gannetspur/internal/scramauth"
	"gannetspur/internal/sqltext"
)

// Options configure a Frontend. They come from the deploy file.
type Options struct {
	// DefaultClass is the class of statements for which neither a rule nor a comment names one.
	DefaultClass string
	// WriteClass is the class of transactions, and of statements that may write and name no class.
	// If it is empty, both are rejected.
	WriteClass string
	// ReadOnlyFunctions are the functions that the operator declares to be read-only.
	ReadOnlyFunctions sqltext.FunctionSet
	// Rules assign classes to statements; the first that matches applies.
	Rules []Rule
	// Shapes derives classes and cost estimates from query shapes; nil disables this.
	Shapes *queryshape.Service

	// MaxClients limits the number of concurrent connections; 0 means that the frontend sets no limit.
	MaxClients int
	// MaxHeldBytes limits the total size in bytes of the unsent rows in all open portals; 0 means 32 MiB.
	MaxHeldBytes int
	// MaxClientBytes limits the total size in bytes of prepared statements, portals, settings and Queries in progress;
	// 0 means 20 MiB.
	MaxClientBytes int

	// Users are the users who may log in by password; nil admits every client without a password.
	Users *scramauth.Users
	// TLS is the server's TLS configuration; nil means that encryption is declined.
	TLS *tls.Config
	// RequireTLS rejects clients that don't use TLS.
	RequireTLS bool

	// IdleTransactionTimeout limits the time between two statements of a transaction; 0 means 10 s.
	IdleTransactionTimeout time.Duration
	// TransactionTimeout limits the duration of a whole transaction; 0 means 60 s.
	TransactionTimeout time.Duration
}

// Rule assigns a class to statements that begin with given words, and names the parameter that holds
// their key.
type Rule struct {
	Starts   string // first words of the statement after comments; case is ignored
	Class    string // name of the class
	Key      int    // number of the parameter that holds the key, from 1; 0 means no key
	ReadOnly bool   // the statements only read; applies if their text does not show their effect
}

func (o *Options) idleTransactionTimeout() time.Duration {
	if o.IdleTransactionTimeout > 0 {
		return o.IdleTransactionTimeout
	}
	return defaultIdleTransactionTimeout
}

func (o *Options) transactionTimeout() time.Duration {
	if o.TransactionTimeout > 0 {
		return o.TransactionTimeout
	}
	return defaultTransactionTimeout
}
