package handover

import (
	"slices"

	"gannetspur/internal/core"
	"gannetspur/internal/decide/sentkeys"
)

// SentKeyStore is the part of a core that remembers where requests with an idempotency key were sent.
type SentKeyStore interface {
	// OnSentKey sets the function that is called with each change that this process makes. Nil unsets it.
	OnSentKey(func(sentkeys.Change))
	// ApplySentKey applies a change that the other process has made.
	ApplySentKey(sentkeys.Change)
}

// SentKeyChanged reports to the target that this process is about to send a request with an idempotency key, or that such
// a send ran nothing. Only targets that announce it in their Hello know this message.
type SentKeyChanged struct {
	Change core.SentKey `cbor:"1,keyasint"`
}

// forwardSentKeys forwards changes of the remembered idempotency keys to the target, from the state on, which has those
// before.
func (s *Source) forwardSentKeys() {
	if s.opts.SentKeys != nil && s.attempt.readsSentKeys {
		s.opts.SentKeys.OnSentKey(func(change sentkeys.Change) { s.send(&SentKeyChanged{core.NewSentKey(change)}) })
	}
}

// stopForwardingSentKeys undoes forwardSentKeys.
func (s *Source) stopForwardingSentKeys() {
	if s.opts.SentKeys != nil {
		s.opts.SentKeys.OnSentKey(nil)
	}
}

// rememberKey remembers the attempts in a record of the target by their idempotency key, as the client may repeat the
// request here if the target dies. Attempts of the previous record that the new one lacks ran nothing.
func (s *Source) rememberKey(previous, record *RequestRecord) {
	if s.opts.SentKeys == nil || record.Key == "" {
		return
	}
	key := sentkeys.Key{Class: record.Class, Token: record.Key}
	attempts := record.priorAttempts()
	if previous != nil && previous.Key == record.Key && previous.Class == record.Class {
		for _, a := range previous.priorAttempts() {
			if !slices.Contains(attempts, a) {
				s.opts.SentKeys.ApplySentKey(sentkeys.Change{Key: key, Attempt: a, NeverRan: true})
			}
		}
	}
	for _, a := range attempts {
		s.opts.SentKeys.ApplySentKey(sentkeys.Change{Key: key, Attempt: a})
	}
}
