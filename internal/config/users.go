package config

import (
	"fmt"
	"os"

	"gannetspur/internal/scramauth"
	"gannetspur/policy"
)

// users is a file of users.
type users struct {
	Users []struct {
		Name       string   `toml:"name"`
		Verifier   string   `toml:"verifier"`     // as ringwood users verifier prints it
		Classes    []string `toml:"classes"`      // that it may ask for; empty: all
		MaxClients int      `toml:"most_clients"` // 0: no limit of its own
	} `toml:"user"`
}

// loadUsers reads a file of users, whose classes must be among the settings'.
func loadUsers(path string, classes []policy.Class) ([]scramauth.User, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("users: %w", err)
	}
	var u users
	c := &checker{file: path}
	if !decodeTOML(c, raw, &u) {
		return nil, c.err()
	}
	known, seen := map[string]bool{}, map[string]bool{}
	for _, class := range classes {
		known[class.Name] = true
	}
	var all []scramauth.User
	for i, user := range u.Users {
		prefix := fmt.Sprintf("user[%d].", i)
		v, err := scramauth.ParseVerifier(user.Verifier)
		c.requiref(err == nil, prefix+"verifier", "%v", err)
		c.requiref(user.Name != "" && len(user.Name) <= 63, prefix+"name", "%q is not of 1 to 63 bytes", user.Name)
		c.requiref(!seen[user.Name], prefix+"name", "%q is named twice", user.Name)
		c.requiref(user.MaxClients >= 0, prefix+"most_clients", "%d is below 0", user.MaxClients)
		for _, class := range user.Classes {
			c.requiref(known[class], prefix+"classes", "%q is no class of the settings", class)
		}
		seen[user.Name] = true
		all = append(all, scramauth.User{Name: user.Name, Verifier: v, Classes: user.Classes, MaxClients: user.MaxClients})
	}
	c.requiref(len(all) > 0, "user", "there is none: nobody could log in")
	return all, c.err()
}
