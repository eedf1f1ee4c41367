package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"

	"gannetspur/internal/scramauth"
)

type usersCommand struct {
	Verifier verifierCommand `cmd:"" help:"Make the verifier of a password, for a file of users. The password is read from standard input, up to the line's end." name:"verifier"`
}

type verifierCommand struct{}

// Run prints a verifier, as pg_authid.rolpassword holds it.
func (verifierCommand) Run() error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	password := strings.TrimRight(line, "\r\n")
	if password == "" {
		return errors.Join(errors.New("no password on standard input"), err)
	}
	v, err := scramauth.NewVerifier(password)
	if err != nil {
		return err
	}
	fmt.Println(v)
	return nil
}
