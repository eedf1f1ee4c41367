package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// drain runs clients that write in transactions of two statements, while an engine is put into maintenance.
func drain(rec *recorder, trouble bool) {
	const clients = 12
	dir := tempDir()
	store := &pgStore{applied: map[string][]string{}}
	engines := map[string]string{}
	for _, name := range []string{"e1", "e2"} {
		e := &pgEngine{name: name, store: store, rec: rec, commit: 20 * time.Millisecond, write: 20 * time.Millisecond}
		engines[name] = e.listen()
	}
	list := newConsul("stock-engine", engines)
	listen := freeAddress()
	copyWith("deploy/postgres-settings.json", filepath.Join(dir, "postgres-settings.json"))
	copyWith("deploy/postgres.toml", filepath.Join(dir, "postgres.toml"),
		"listen = ", fmt.Sprintf("listen = %q", listen), "address = ", fmt.Sprintf("address = %q", list.addr))
	g := startGateway(fmt.Sprintf("exec bin/gateway serve --postgres %s/postgres.toml", dir), nil)
	g.await("serving", 10*time.Second, nil)
	time.Sleep(500 * time.Millisecond) // the engines are listed

	type transaction struct {
		writes [2]string
		heard  string // answer to its COMMIT, or to what failed before
	}
	var mu sync.Mutex
	var done []transaction
	committed := 0
	stop := time.Now().Add(8 * time.Second)
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			var p *pgClient
			defer func() {
				if p != nil {
					p.c.Close()
				}
			}()
			time.Sleep(time.Duration(i) * 67 * time.Millisecond) // they don't go in step
			for n := 0; time.Now().Before(stop); n++ {
				time.Sleep(time.Duration(30+10*i) * time.Millisecond)
				if p == nil {
					var err error
					if p, err = dialPG(listen); err != nil {
						rec.log("client %d: connect: %v", i, err)
						p = nil
						continue
					}
				}
				tx := transaction{}
				for w := range tx.writes {
					tx.writes[w] = fmt.Sprintf("INSERT INTO stock_17.moves VALUES ('t%d-%d', %d)", i, n, w+1)
				}
				for _, q := range []string{"BEGIN", tx.writes[0], tx.writes[1], "COMMIT"} {
					rec.log("client %d sends %s", i, q)
					words, err := p.query(q, 25*time.Second)
					rec.log("client %d hears %q %v", i, words, err)
					tx.heard = strings.Join(words, ", ")
					if err != nil {
						tx.heard = "connection: " + err.Error()
						p.c.Close()
						p = nil
						break
					}
					if strings.HasPrefix(tx.heard, "error ") { // the transaction has failed, and nothing is tried again
						if _, err := p.query("ROLLBACK", 25*time.Second); err != nil {
							p.c.Close()
							p = nil
						}
						break
					}
					time.Sleep(200 * time.Millisecond) // the client thinks
				}
				mu.Lock()
				done = append(done, tx)
				if tx.heard == "COMMIT" {
					committed++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		rec.log("TROUBLE engine e1 is put into maintenance")
		list.setMaintenance("e1", true)
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond) // what is at the engines ends

	var broken []string
	fault := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf(format, args...))
		rec.log("FAULT "+format, args...)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, tx := range done {
		first, second := store.applied[tx.writes[0]], store.applied[tx.writes[1]]
		switch {
		case len(first) > 1 || len(second) > 1:
			fault("%s: its writes were committed at %v and %v", tx.writes[0], first, second)
		case tx.heard == "COMMIT" && len(first)+len(second) != 2:
			fault("the client heard COMMIT; %s was committed at %v, %s at %v", tx.writes[0], first, tx.writes[1], second)
		case len(first) != len(second):
			fault("a half of a transaction was committed (its client heard %s): %s at %v, %s at %v", tx.heard, tx.writes[0], first, tx.writes[1], second)
		case strings.HasPrefix(tx.heard, "error 40000") && len(first) > 0:
			fault("the client heard that %s was rolled back, and it was committed", tx.writes[0])
		}
	}
	verdict(rec, broken, fmt.Sprintf("%d transactions were tried, %d answered COMMIT", len(done), committed), committed >= clients)
}
