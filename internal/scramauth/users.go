package scramauth

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/xdg-go/scram"
)

// secretBytes is the length in bytes of the secret from which decoy credentials are derived.
const secretBytes = 32

// User is a user with its verifier and limits.
type User struct {
	Name       string   `toml:"name"`
	Verifier   Verifier `toml:"verifier"`
	Classes    []string `toml:"classes"`    // request classes that the user may use; empty means all
	MaxClients int      `toml:"maxclients"` // maximum number of simultaneous connections; 0 means no limit for this user
}

// Users is the set of users that can log in.
type Users struct {
	byName      map[string]*User
	decoySecret []byte // key from which the decoy credentials of unknown users are derived
}

// NewUsers returns a set of users with a new secret for decoy credentials.
func NewUsers(users []User) *Users {
	return (&Users{decoySecret: randomBytes(secretBytes)}).WithUsers(users)
}

// WithUsers returns a set of the given users, for use when the users file has been reloaded. It keeps
// the secret for decoy credentials: if the salts of unknown users changed, clients could tell them from
// known users.
func (u *Users) WithUsers(users []User) *Users {
	next := &Users{byName: make(map[string]*User, len(users)), decoySecret: u.decoySecret}
	for _, user := range users {
		next.byName[user.Name] = &user
	}
	return next
}

// Get returns the user with the given name, or nil if there is none.
func (u *Users) Get(name string) *User { return u.byName[name] }

// decoyCredentials returns the credentials with which the login of an unknown user is simulated: a salt
// that is always the same for a name, and keys that match no password.
func (u *Users) decoyCredentials(name string) scram.StoredCredentials {
	derive := func(purpose string) []byte {
		h := hmac.New(sha256.New, u.decoySecret)
		h.Write([]byte(purpose + "\x00" + name))
		return h.Sum(nil)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(derive("salt")[:saltBytes]), Iters: defaultIterations},
		StoredKey:  derive("stored"),
		ServerKey:  derive("server"),
	}
}
