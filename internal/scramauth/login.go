package scramauth

import (
	"errors"
	"fmt"

	"github.com/xdg-go/scram"
)

// Errors of a login.
var (
	ErrDenied           = errors.New("password authentication failed")
	ErrMalformedMessage = errors.New("malformed SCRAM message")
)

// Login is one attempt to sign in.
type Login struct {
	conversation *scram.ServerConversation
	known        bool
	steps        int
}

// StartLogin starts a login under a name. The name within SCRAM's own messages is ignored, as
// PostgreSQL does.
func (u *Users) StartLogin(name string) (*Login, error) {
	credentials := u.decoyCredentials(name)
	user := u.byName[name]
	if user != nil {
		credentials = user.Verifier.stored
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return nil, fmt.Errorf("scram: %w", err)
	}
	return &Login{conversation: server.NewConversation(), known: user != nil}, nil
}

// Step takes a client's message and returns the response; done tells that the client has proved to
// be the user.
func (l *Login) Step(message string) (response string, done bool, err error) {
	l.steps++
	response, err = l.conversation.Step(message)
	switch {
	case l.steps == 1 && err != nil:
		return "", false, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	case l.steps == 1:
		return response, false, nil
	case err != nil || !l.conversation.Valid() || !l.known:
		return "", false, ErrDenied
	}
	return response, true, nil
}
