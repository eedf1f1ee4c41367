package postgres

import (
	"maps"
	"slices"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
)

// session is the state that the engine keeps for a connection between statements.
type session struct {
	// settings are the settings that the engine has committed: the text of the SET statement that applied
	// each, by the setting's name.
	settings map[string]string
	// pending are the settings that the session will have if the statement in flight succeeds, because SET
	// or RESET statements were sent ahead of it. They are one transaction with it, so the engine undoes them
	// if it fails. It is nil if none were sent.
	pending   map[string]string
	resetting bool // DISCARD ALL is running: no statement may use the session yet
}

// compositeSettings are the settings of which a SET may assign a part and leave the rest as it is. They are reset
// before another SET, as the rest may be another client's.
var compositeSettings = map[string]bool{"datestyle": true}

// newSession returns the state of a new session, which has no settings of clients.
func newSession() session { return session{settings: map[string]string{}} }

// appendSettings appends the messages that change the session's settings to those that a statement needs: RESET for
// the others, SET for those that differ. It appends nothing if the settings already match. The changes are pending
// until commitSettings. count is the number of statements in the appended messages.
func (s *session) appendSettings(messages []byte, settings []pgproto.Setting) (appended []byte, count int) {
	if s.has(settings) { // the case of nearly all statements
		return messages, 0
	}
	changed := maps.Clone(s.settings)
	for _, name := range slices.Sorted(maps.Keys(s.settings)) {
		wanted := slices.ContainsFunc(settings, func(setting pgproto.Setting) bool { return setting.Name == name })
		if !wanted {
			messages = appendPrecedingStatement(messages, "RESET "+name)
			delete(changed, name)
			count++
		}
	}
	for _, setting := range settings {
		applied, isApplied := changed[setting.Name]
		if applied == setting.Text {
			continue
		}
		if isApplied && compositeSettings[setting.Name] {
			messages = appendPrecedingStatement(messages, "RESET "+setting.Name)
			count++
		}
		messages = appendPrecedingStatement(messages, setting.Text)
		changed[setting.Name] = setting.Text
		count++
	}
	s.pending = changed
	return messages, count
}

// has reports whether exactly these settings are applied.
func (s *session) has(settings []pgproto.Setting) bool {
	differs := func(setting pgproto.Setting) bool { return s.settings[setting.Name] != setting.Text }
	return len(settings) == len(s.settings) && !slices.ContainsFunc(settings, differs)
}

// commitSettings records that the engine has committed the statement in flight, and the settings sent ahead of it.
func (s *session) commitSettings(statement *pgproto.Statement) {
	if s.pending != nil {
		s.settings = s.pending
		s.pending = nil
	}
	if statement.ChangedSetting != "" {
		s.settings[statement.ChangedSetting] = statement.Query
	}
}

// unknown reports whether the settings of the session are not known: the statement that they were sent ahead of
// has ended in another way than by a commit.
func (s *session) unknown() bool { return s.pending != nil }

// resetSession makes the engine discard the state that a transaction or statement has left in the session.
// Otherwise another client could see this client's settings and temporary tables. If the reset takes longer than the
// connect timeout, the connection is closed.
func (c *connection) resetSession() {
	if c.retired || c.socket == nil {
		return
	}
	c.prepared.clear()
	c.session = newSession()
	c.session.resetting = true
	c.socket.Write(pgproto.AppendMessage(nil, pgproto.MessageQuery, pgproto.CString("DISCARD ALL")))
	c.backend.loop.Timers.Add(c.backend.core.Now()+c.backend.options.ConnectTimeout, func() {
		if c.session.resetting {
			c.close(core.OutcomeIdleClosed)
		}
	})
}

// completeReset makes the connection idle again. If the reset failed, it returns the engine's error instead.
func (c *connection) completeReset() error {
	if c.response.failure != nil {
		return c.response.failure
	}
	c.session.resetting = false
	c.lastUsed = c.backend.core.Now()
	c.becomeIdle()
	return nil
}
