package config

import (
	"fmt"
	"os"

	"gannetspur/internal/scramauth"
	"gannetspur/policy"
)

// usersFile is the file of users who may sign in.
type usersFile struct {
	Users []struct {
		Name       string   `toml:"name"`
		Verifier   string   `toml:"verifier"`     // SCRAM verifier, as printed by "ringwood users verifier"
		Classes    []string `toml:"classes"`      // classes that the user may request; empty for all
		MaxClients int      `toml:"most_clients"` // limit on connections of this user; 0 for none
	} `toml:"user"`
}

// loadUsers reads and validates a file of users. classes are those of the settings; the users' classes must be among them.
func loadUsers(path string, classes []policy.Class) ([]scramauth.User, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("users: %w", err)
	}
	var file usersFile
	c := &checker{file: path}
	if !decodeTOML(c, raw, &file) {
		return nil, c.err()
	}
	knownClasses, seenNames := map[string]bool{}, map[string]bool{}
	for _, class := range classes {
		knownClasses[class.Name] = true
	}
	var users []scramauth.User
	for i, user := range file.Users {
		prefix := fmt.Sprintf("user[%d].", i)
		verifier, err := scramauth.ParseVerifier(user.Verifier)
		c.requiref(err == nil, prefix+"verifier", "must be a SCRAM verifier: %v", err)
		c.requiref(user.Name != "" && len(user.Name) <= 63, prefix+"name", "must be 1 to 63 bytes long, got %q", user.Name)
		c.requiref(!seenNames[user.Name], prefix+"name", "must be unique, got %q twice", user.Name)
		c.requiref(user.MaxClients >= 0, prefix+"most_clients", "must be at least 0, got %d", user.MaxClients)
		for _, class := range user.Classes {
			c.requiref(knownClasses[class], prefix+"classes", "must be classes of the settings, got %q", class)
		}
		seenNames[user.Name] = true
		users = append(users, scramauth.User{Name: user.Name, Verifier: verifier, Classes: user.Classes, MaxClients: user.MaxClients})
	}
	c.requiref(len(users) > 0, "user", "must be given at least once, or nobody could sign in")
	return users, c.err()
}
