package main

import (
	"fmt"
	"strings"

	"gannetspur/internal/testbed/testca"
)

// keysCommand issues short-lived keys and certificates for gateways of several sites.
type keysCommand struct {
	Folder   string   `arg:"" type:"existingdir" help:"Existing folder for the files: authority.pem, revoked.pem, and GATEWAY.pem and GATEWAY.key for each gateway." name:"folder"`
	Gateways []string `arg:"" help:"Gateways to issue keys for, each as SITE/GATEWAY." name:"gateways"`
}

// Run creates a certificate authority whose key is not stored, and a key and certificate for each gateway, valid for a day.
func (c *keysCommand) Run() error {
	ca, err := testca.New("laboratory")
	if err != nil {
		return err
	}
	for _, g := range c.Gateways {
		site, gateway, ok := strings.Cut(g, "/")
		if !ok || site == "" || gateway == "" || strings.Contains(gateway, "/") {
			return fmt.Errorf("%q is not of the form SITE/GATEWAY, for example lalitpur/lalitpur-1", g)
		}
		if _, err := ca.Issue(c.Folder, gateway, site, gateway, testca.DefaultExpiry()); err != nil {
			return err
		}
	}
	if err := ca.WriteFiles(c.Folder); err != nil {
		return err
	}
	fmt.Printf("wrote keys for %d gateways to %s; they are valid for a day and for tests only\n", len(c.Gateways), c.Folder)
	return nil
}
