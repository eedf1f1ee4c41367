package postgres

import (
	"crypto/tls"
	"time"

	"gannetspur/internal/queryshape"
	"gannetspur/internal/scramauth"
	"gannetspur/internal/sqltext"
)

// Options come from the deploy file.
type Options struct {
	// DefaultClass is the class of statements that no rule and no comment names one for.
	DefaultClass string
	// WriteClass is the class of statements that may write and have no class of their own, and of
	// transactions; "": these are rejected.
	WriteClass string
	// ReadOnlyFunctions are those that the operators know to read only.
	ReadOnlyFunctions sqltext.FunctionSet
	Rules             []Rule
	// Shapes gives classes and estimates by the shapes of statements; nil: off.
	Shapes *queryshape.Service

	// MaxClients bounds the connections at once; 0: no limit of the frontend's own.
	MaxClients int
	// MaxHeldBytes bounds the rows in all open portals together.
	MaxHeldBytes int

	// Users may log in, by password; nil: everybody may, without one.
	Users *scramauth.Users
	// TLS is nil where encryption is declined.
	TLS *tls.Config
	// RequireTLS rejects clients without TLS.
	RequireTLS bool

	// IdleTransactionTimeout bounds the time between two statements of a transaction; 0: 10 s.
	IdleTransactionTimeout time.Duration
	// TransactionTimeout bounds a whole transaction; 0: 60 s.
	TransactionTimeout time.Duration
}

// Rule gives a class to statements that begin with some words, and names the parameter that holds
// their key.
type Rule struct {
	Starts   string // words, in any case, after comments
	Class    string
	Key      int  // number of the key's parameter, from 1; 0: none
	ReadOnly bool // such statements only read, where their text can't tell
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
