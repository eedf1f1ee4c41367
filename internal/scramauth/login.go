package scramauth

import (
	"errors"
	"fmt"

	"github.com/xdg-go/scram"
)

var (
	// ErrDenied is returned for an unknown user and for a wrong password alike.
	ErrDenied = errors.New("password authentication failed")
	// ErrMalformedMessage is returned if the client's first message is invalid.
	ErrMalformedMessage = errors.New("malformed SCRAM message")
)

// Login is one authentication exchange with a client.
type Login struct {
	conversation *scram.ServerConversation
	known        bool // the user exists
	steps        int  // number of messages received from the client
}

// StartLogin starts the login of the named user. As in PostgreSQL, the name within the SCRAM messages
// is ignored.
func (u *Users) StartLogin(name string) (*Login, error) {
	credentials := u.decoyCredentials(name)
	user := u.byName[name]
	if user != nil {
		credentials = user.Verifier.credentials
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return nil, fmt.Errorf("scram: %w", err)
	}
	return &Login{conversation: server.NewConversation(), known: user != nil}, nil
}

// Step handles a message from the client and returns the response. done is true once the client has
// proved that it knows the user's password.
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
