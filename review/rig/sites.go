package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// keyed sends one keyed load by extended query and returns what was heard.
func (p *pgClient) keyed(key string, within time.Duration) ([]string, error) {
	b := pgMessage(nil, 'P', cstring(""), cstring("/* class=load key=$1 */ INSERT INTO stock_17.batches VALUES ($1)"), []byte{0, 0})
	value := append([]byte{0, 0, 0, 1, 0, 0, 0, byte(len(key))}, key...)
	b = pgMessage(b, 'B', cstring(""), cstring(""), append(value, 0, 0))
	b = pgMessage(b, 'E', cstring(""), []byte{0, 0, 0, 0})
	b = pgMessage(b, 'S')
	if _, err := p.c.Write(b); err != nil {
		return nil, err
	}
	return p.answer(within)
}

// sites runs two sites whose engines don't share keys. Loads that find no room at the first site run at the second one; their
// client gives up, and tries again within the key's window, after an upgrade of the first site's gateway.
func sites(rec *recorder, trouble bool) {
	dir := tempDir()
	must(os.Mkdir(filepath.Join(dir, "sites"), 0o700), "folder of keys")
	out, err := exec.Command("bin/testbed", "keys", filepath.Join(dir, "sites"), "lalitpur/lalitpur-1", "pokhara/pokhara-1").CombinedOutput()
	if err != nil {
		giveUp("testbed keys: %v: %s", err, out)
	}
	type site struct {
		name, other, listen, link string
		store                     *pgStore
		upgrade                   string
		g                         *gateway
	}
	both := []*site{{name: "lalitpur", other: "pokhara"}, {name: "pokhara", other: "lalitpur"}}
	for _, s := range both {
		s.listen, s.link = freeAddress(), freeAddress()
	}
	copyWith("deploy/postgres-settings.json", filepath.Join(dir, "postgres-settings.json"))
	for i, s := range both {
		peer := both[1-i]
		s.store = &pgStore{applied: map[string][]string{}}
		e := &pgEngine{name: "engine of " + s.name, store: s.store, rec: rec, write: 1200 * time.Millisecond, slow: 5 * time.Second}
		list := newConsul("stock-engine", map[string]string{"e-" + s.name: e.listen()})
		path := func(kind string) string { return filepath.Join(dir, s.name+"-"+kind+".toml") }
		copyWith("deploy/postgres.toml", path("postgres"), "listen = ", fmt.Sprintf("listen = %q", s.listen), "address = ", fmt.Sprintf("address = %q", list.addr))
		copyWith("deploy/upgrade.toml", path("upgrade"), "admin = ", fmt.Sprintf("admin = %q", filepath.Join(dir, s.name+".admin")))
		copyWith("deploy/sites.toml", path("sites"), "site = \"lalitpur\"", fmt.Sprintf("site = %q", s.name), "gateway = \"lalitpur-1\"", fmt.Sprintf("gateway = %q", s.name+"-1"),
			"listen = ", fmt.Sprintf("listen = %q", s.link), "site = \"pokhara\"", fmt.Sprintf("site = %q", s.other), "gateway = \"pokhara-1\"", fmt.Sprintf("gateway = %q", s.other+"-1"),
			"address = ", fmt.Sprintf("address = %q", peer.link), "certificate = ", fmt.Sprintf("certificate = \"sites/%s-1.pem\"", s.name), "key = ", fmt.Sprintf("key = \"sites/%s-1.key\"", s.name))
		s.upgrade = path("upgrade")
		s.g = startGateway(fmt.Sprintf("exec bin/gateway serve --postgres %s --upgrade %s --sites %s", path("postgres"), s.upgrade, path("sites")), nil)
		s.g.await("serving", 10*time.Second, nil)
	}
	a, b := both[0], both[1]
	a.g.await("site.linked", 10*time.Second, nil)
	time.Sleep(time.Second)

	var all sync.WaitGroup
	for i := range 8 { // reports fill the first site's engine
		all.Go(func() {
			p, err := dialPG(a.listen)
			must(err, "client")
			defer p.c.Close()
			words, err := p.query("/* class=report */ SELECT slow FROM stock_17.moves", 20*time.Second)
			rec.log("report %d heard %q %v", i, words, err)
		})
	}
	quiet := make(chan struct{})
	all.Go(func() { // some lookups all the time
		p, err := dialPG(a.listen)
		must(err, "client")
		defer p.c.Close()
		for {
			select {
			case <-quiet:
				return
			case <-time.After(50 * time.Millisecond):
			}
			if _, err := p.query("SELECT part FROM stock_17.moves", 10*time.Second); err != nil {
				rec.log("lookup: %v", err)
				return
			}
		}
	})
	time.Sleep(700 * time.Millisecond)
	const loads = 4
	heard := make([]string, loads)
	for i := range loads {
		all.Go(func() {
			key := fmt.Sprintf("batch-%d", i)
			p, err := dialPG(a.listen)
			must(err, "client")
			if words, err := p.query("SET statement_timeout = 1000", 5*time.Second); err != nil {
				giveUp("SET: %q %v", words, err)
			}
			rec.log("client %d sends load %s", i, key)
			words, err := p.keyed(key, 10*time.Second)
			rec.log("client %d hears of load %s %q %v", i, key, words, err)
			heard[i] = strings.Join(words, ", ")
			p.c.Close()
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		rec.log("TROUBLE gateway upgrade at %s", a.name)
		out, err := exec.Command("bin/gateway", "upgrade", "--upgrade", a.upgrade).CombinedOutput()
		rec.log("gateway upgrade: %s %v", strings.ReplaceAll(string(out), "\n", "; "), err)
		pid := int(a.g.find("upgrade.started", nil)["pid"].(float64))
		onExit(func() { _ = syscall.Kill(pid, syscall.SIGKILL) })
	} else {
		time.Sleep(5 * time.Second)
	}
	close(quiet)
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	var again sync.WaitGroup
	for i := range loads {
		again.Go(func() {
			key := fmt.Sprintf("batch-%d", i)
			p, err := dialPG(a.listen)
			must(err, "client")
			defer p.c.Close()
			rec.log("client %d tries load %s again", i, key)
			words, err := p.keyed(key, 10*time.Second)
			rec.log("client %d hears of load %s %q %v", i, key, words, err)
		})
	}
	again.Wait()
	var broken []string
	ran := 0
	for i := range loads {
		key := fmt.Sprintf("batch-%d", i)
		here, there := len(a.store.applied[key]), len(b.store.applied[key])
		rec.log("load %s: %d times at %s, %d times at %s", key, here, a.name, there, b.name)
		if there > 0 {
			ran++
		}
		if here > 0 && there > 0 {
			broken = append(broken, fmt.Sprintf("load %s was committed at %s (its client heard %s) and, by its repeat, at %s", key, b.name, heard[i], a.name))
		}
	}
	for _, text := range broken {
		rec.log("FAULT %s", text)
	}
	verdict(rec, broken, fmt.Sprintf("%d of %d loads ran at the other site", ran, loads), ran > 0)
}
