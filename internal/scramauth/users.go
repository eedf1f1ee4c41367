package scramauth

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/xdg-go/scram"
)

// secretBytes is the length of the secret that decoys are derived from.
const secretBytes = 32

// User is one user with its rights.
type User struct {
	Name       string   `toml:"name"`
	Verifier   Verifier `toml:"verifier"`
	Classes    []string `toml:"classes"`    // that it may ask for; empty: all
	MaxClients int      `toml:"maxclients"` // connections at once; 0: no limit of its own
}

// Users are those who may sign in.
type Users struct {
	byName      map[string]*User
	decoySecret []byte // that the credentials shown to unknown users are derived from
}

// NewUsers returns a set of users.
func NewUsers(users []User) *Users {
	return (&Users{decoySecret: randomBytes(secretBytes)}).WithUsers(users)
}

// WithUsers returns a set of other users, as a file that was read again names them. Unknown users
// are still shown the same credentials: a salt that changed would tell them from known ones.
func (u *Users) WithUsers(users []User) *Users {
	next := &Users{byName: make(map[string]*User, len(users)), decoySecret: u.decoySecret}
	for _, user := range users {
		next.byName[user.Name] = &user
	}
	return next
}

// Get returns the user of a name, or nil.
func (u *Users) Get(name string) *User { return u.byName[name] }

// decoyCredentials returns what an unknown user is shown: a salt that is always the same for the
// name, and keys that no password has.
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
