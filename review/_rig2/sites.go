package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gannetspur/internal/testbed/testca"
)

// line relays connections with a delay each way: the line between two sites.
type line struct {
	addr   string
	target string
	delay  time.Duration
}

func (r *rig) line(target string, delay time.Duration) *line {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	l := &line{addr: ln.Addr().String(), target: target, delay: delay}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.relay(c)
		}
	}()
	return l
}

func (l *line) relay(c net.Conn) {
	d, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go l.carry(c, d)
	l.carry(d, c)
}

// carry passes bytes on, each piece so much after it came.
func (l *line) carry(from, to net.Conn) {
	type piece struct {
		at time.Time
		b  []byte
	}
	pieces := make(chan piece, 4096)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.at.Add(l.delay)))
			_, _ = to.Write(p.b)
		}
		_ = to.Close()
	}()
	defer close(pieces)
	for {
		b := make([]byte, 32<<10)
		n, err := from.Read(b)
		if n > 0 {
			pieces <- piece{time.Now(), b[:n]}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = from.Close()
			}
			return
		}
	}
}

// site is one site: a gateway, its engine and its catalogue.
type site struct {
	engine    *engine
	catalogue *consul
	gateway   *process
	listen    string
	upgrade   string // path of the upgrade file
}

// playSites: a load is forwarded to the other site and runs there, its client stops waiting, the gateway is upgraded, and
// the client tries again with the same key within its window. The engines of a site know nothing of the other's keys.
func playSites(r *rig) (broken []string) {
	const window = 12 * time.Second
	const oneWay = 150 * time.Millisecond
	work := func(query, key string) time.Duration {
		if strings.HasPrefix(query, "INSERT") {
			return 100 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	keys := filepath.Join(r.dir, "keys")
	r.write("keys/none", "")
	ca, err := testca.New("review")
	r.must(err)
	for _, name := range []string{"lalitpur", "pokhara"} {
		_, err := ca.Issue(keys, name+"-1", name, name+"-1", testca.DefaultExpiry())
		r.must(err)
	}
	r.must(ca.WriteFiles(keys))

	sites := map[string]*site{}
	links := map[string]string{"lalitpur": r.freePort(), "pokhara": r.freePort()}
	far := map[string]string{"lalitpur": "pokhara", "pokhara": "lalitpur"}
	r.write("settings.json", r.settings(nil))
	for _, name := range []string{"pokhara", "lalitpur"} {
		s := &site{engine: r.engine("engine-of-"+name, "hall-a", newKeyMemory(window), work), listen: r.freePort()}
		s.catalogue = r.consul(s.engine)
		postgres := r.write(name+"-postgres.toml", r.deployFile("postgres.toml", "listen =", `listen = "`+s.listen+`"`, "settings =", `settings = "settings.json"`,
			"address =", `address = "`+s.catalogue.addr+`"`))
		s.upgrade = r.write(name+"-upgrade.toml", r.deployFile("upgrade.toml", "admin =", `admin = "`+r.dir+"/"+name+`.sock"`, "prove_for_s", "prove_for_s = 1",
			"prove_within_s", "prove_within_s = 2"))
		sitesFile := r.write(name+"-sites.toml", r.deployFile("sites.toml", "site = \"pokhara\"", `site = "`+far[name]+`"`, "gateway = \"pokhara-1\"", `gateway = "`+far[name]+`-1"`,
			"site =", `site = "`+name+`"`, "gateway =", `gateway = "`+name+`-1"`, "listen =", `listen = "`+links[name]+`"`,
			"address =", `address = "`+r.line(links[far[name]], oneWay).addr+`"`, "cold_for_s", "cold_for_s = 0",
			"certificate =", `certificate = "keys/`+name+`-1.pem"`, "key =", `key = "keys/`+name+`-1.key"`, "authority =", `authority = "keys/authority.pem"`))
		s.gateway = r.run(name, "serve", "--log-format", "json", "--postgres", postgres, "--upgrade", s.upgrade, "--sites", sitesFile)
		r.await(s.gateway, "serving", 10*time.Second, nil)
		sites[name] = s
	}
	here, there := sites["lalitpur"], sites["pokhara"]
	r.await(here.gateway, "site.linked", 10*time.Second, nil)
	time.Sleep(3 * time.Second) // capacities have been told

	// The engine here is in maintenance for a while: its work crosses.
	here.catalogue.set(here.engine, func(m *member) { m.draining = true })
	time.Sleep(500 * time.Millisecond)
	const loads = 4
	const insert = "INSERT INTO stock_17.batches VALUES ($1, $2)"
	key := func(i int) string { return fmt.Sprintf("batch-%02d", i+1) }
	var wg sync.WaitGroup
	began := time.Now()
	for i := range loads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := r.client(here.listen)
			r.logf("client %d sends the load %s", i+1, key(i))
			_ = c.send(insert, key(i), "rows")
			// It stops waiting when the load has run at the other site, and the answer is on its way.
			a := c.read(oneWay + 100*time.Millisecond + oneWay/2)
			r.logf("client %d stops waiting for %s: %v", i+1, key(i), a)
			c.close()
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	crossed := 0
	for i := range loads {
		crossed += there.engine.effects(key(i))
	}
	if crossed != loads {
		r.giveUp("%d of %d loads ran at the other site", crossed, loads)
	}
	here.catalogue.set(here.engine, func(m *member) { m.draining = false })
	if r.trouble {
		up := r.run("upgrade", "upgrade", "--upgrade", here.upgrade)
		<-up.done
		r.await(here.gateway, "upgrade.done", 10*time.Second, nil)
		r.logf("the gateway here was upgraded")
	}
	time.Sleep(time.Until(began.Add(6 * time.Second)))
	answers := make([]answer, loads)
	for i := range loads {
		c := r.client(here.listen)
		r.logf("client %d tries %s again, %.1f s after its first try", i+1, key(i), time.Since(began).Seconds())
		answers[i] = c.execute(insert, 20*time.Second, key(i), "rows")
		r.logf("client %d is told of %s: %v", i+1, key(i), answers[i])
		c.close()
	}
	time.Sleep(500 * time.Millisecond)
	for i := range loads {
		h, t := here.engine.effects(key(i)), there.engine.effects(key(i))
		r.logf("load %s: had its effect %d times here and %d times at the other site", key(i), h, t)
		if h+t > 1 {
			broken = append(broken, fmt.Sprintf("the load %s ran %d times", key(i), h+t))
		}
	}
	return broken
}
