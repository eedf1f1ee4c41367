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
		Name        string
		Verifier    string   // as ringwood users verifier prints it
		Classes     []string // that it may ask for; empty: all
		MostClients int      `toml:"most_clients"` // 0: no limit of its own
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
	for i, one := range u.Users {
		at := func(field string) string { return fmt.Sprintf("user[%d].%s", i, field) }
		v, err := scramauth.ParseVerifier(one.Verifier)
		c.must(err == nil, at("verifier"), "%v", err)
		c.must(one.Name != "" && len(one.Name) <= 63, at("name"), "%q is not of 1 to 63 bytes", one.Name)
		c.must(!seen[one.Name], at("name"), "%q is named twice", one.Name)
		c.must(one.MostClients >= 0, at("most_clients"), "%d is below 0", one.MostClients)
		for _, class := range one.Classes {
			c.must(known[class], at("classes"), "%q is no class of the settings", class)
		}
		seen[one.Name] = true
		all = append(all, scramauth.User{Name: one.Name, Verifier: v, Classes: one.Classes, MaxClients: one.MostClients})
	}
	c.must(len(all) > 0, "user", "there is none: nobody could log in")
	return all, c.err()
}
