package main

import (
	"fmt"
	"strings"

	"gannetspur/internal/testbed/testca"
)

type keysCommand struct {
	Folder   string   `arg:"" type:"existingdir" help:"Where the files go: authority.pem, revoked.pem, and GATEWAY.pem and GATEWAY.key of each." name:"folder"`
	Gateways []string `arg:"" help:"Gateways, as SITE/GATEWAY." name:"gateways"`
}

// Run makes an authority that forgets its key, and keys for gateways that hold for a day.
func (c *keysCommand) Run() error {
	ca, err := testca.New("laboratory")
	if err != nil {
		return err
	}
	for _, g := range c.Gateways {
		site, gateway, ok := strings.Cut(g, "/")
		if !ok || site == "" || gateway == "" || strings.Contains(gateway, "/") {
			return fmt.Errorf("%q is no SITE/GATEWAY", g)
		}
		if _, err := ca.Issue(c.Folder, gateway, site, gateway, testca.DefaultExpiry()); err != nil {
			return err
		}
	}
	if err := ca.WriteFiles(c.Folder); err != nil {
		return err
	}
	fmt.Printf("keys of %d gateways, good for a day, for trials only\n", len(c.Gateways))
	return nil
}
