package postgres

import (
	"maps"
	"slices"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
)

// session is what a connection's engine keeps between statements.
type session struct {
	settings  map[string]string // the SET that made each, by name
	resetting bool              // DISCARD ALL is under way: no statement may use the session yet
}

func newSession() session { return session{settings: map[string]string{}} }

// appendSettings adds the messages that give the session the settings that a statement runs under, and reset
// others: none, where it has them. count is the number of statements in these messages.
func (s *session) appendSettings(messages []byte, settings []pgproto.Setting) (appended []byte, count int) {
	if len(settings) == 0 && len(s.settings) == 0 { // nearly all statements
		return messages, 0
	}
	for _, name := range slices.Sorted(maps.Keys(s.settings)) {
		wanted := slices.ContainsFunc(settings, func(setting pgproto.Setting) bool { return setting.Name == name })
		if !wanted {
			messages = appendPrelude(messages, "RESET "+name)
			delete(s.settings, name)
			count++
		}
	}
	for _, setting := range settings {
		if s.settings[setting.Name] != setting.Text {
			messages = appendPrelude(messages, setting.Text)
			s.settings[setting.Name] = setting.Text
			count++
		}
	}
	return messages, count
}

// resetSession has the engine discard what a transaction has left in the session, before another
// client's statement runs in it. Guards against settings and temporary tables of one client
// that another would see.
func (c *connection) resetSession() {
	if c.retired || c.socket == nil {
		return
	}
	c.prepared.clear()
	clear(c.session.settings)
	c.session.resetting = true
	c.socket.Write(pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString("DISCARD ALL")))
	c.backend.loop.Timers.Add(c.backend.core.Now()+c.backend.options.ConnectTimeout, func() {
		if c.session.resetting {
			c.close(core.OutcomeIdleClosed)
		}
	})
}

// completeReset gives the connection back to the pool.
func (c *connection) completeReset() error {
	if c.response.failure != nil {
		return c.response.failure
	}
	c.session.resetting = false
	c.lastUsed = c.backend.core.Now()
	c.becomeIdle()
	return nil
}
