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
	Verifier verifierCommand `cmd:"" help:"Print a SCRAM verifier for a users file. The password is read from the first line of standard input." name:"verifier"`
}

type verifierCommand struct{}

// Run prints a SCRAM verifier in the format of pg_authid.rolpassword.
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
