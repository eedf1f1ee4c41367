package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// chaos is no case: it looks for faults of transactions while engines reset connections at any message, clients leave in
// any state, and other clients cancel their own statements.
func chaos(rec *recorder, trouble bool) {
	const clients = 16
	dir := tempDir()
	store := &pgStore{applied: map[string][]string{}}
	engines := map[string]string{}
	var resets atomic.Int64
	for _, name := range []string{"e1", "e2", "e3"} {
		e := &pgEngine{name: name, store: store, rec: rec, commit: 20 * time.Millisecond, write: 20 * time.Millisecond, slow: 300 * time.Millisecond}
		if trouble {
			e.breaks = func() bool {
				if rand.IntN(1500) > 0 {
					return false
				}
				resets.Add(1)
				return true
			}
		}
		engines[name] = e.listen()
	}
	listen := freeAddress()
	copyWith("deploy/postgres-settings.json", filepath.Join(dir, "postgres-settings.json"))
	copyWith("deploy/postgres.toml", filepath.Join(dir, "postgres.toml"),
		"listen = ", fmt.Sprintf("listen = %q", listen), "address = ", fmt.Sprintf("address = %q", newConsul("stock-engine", engines).addr))
	g := startGateway(fmt.Sprintf("exec bin/gateway serve --postgres %s/postgres.toml", dir), nil)
	g.await("serving", 10*time.Second, nil)
	time.Sleep(500 * time.Millisecond)
	var mu sync.Mutex
	var broken []string
	fault := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, fmt.Sprintf(format, args...))
		rec.log("FAULT "+format, args...)
	}
	type transaction struct {
		writes []string
		heard  string
	}
	var done []transaction
	committed, cancelled := 0, 0
	stop := time.Now().Add(20 * time.Second)
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			var p *pgClient
			leave := func() {
				if p != nil {
					p.c.Close()
				}
				p = nil
			}
			defer leave()
			for n := 0; time.Now().Before(stop); n++ {
				time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
				if p == nil {
					var err error
					if p, err = dialPG(listen); err != nil {
						p = nil
						continue
					}
				}
				tx := transaction{}
				queries := []string{}
				write := func(k int) string {
					w := fmt.Sprintf("INSERT INTO stock_17.moves VALUES ('t%d-%d', %d)", i, n, k)
					tx.writes = append(tx.writes, w)
					return w
				}
				switch n % 4 {
				case 0:
					queries = []string{write(1)}
				case 1:
					queries = []string{"BEGIN", write(1), write(2), "COMMIT"}
				case 2:
					queries = []string{write(1) + "; " + write(2)}
				case 3:
					queries = []string{"BEGIN; " + write(1) + "; " + write(2) + "; COMMIT"}
				}
				for _, q := range queries {
					if trouble && rand.IntN(40) == 0 { // it leaves without waiting
						_, _ = p.c.Write(pgMessage(nil, 'Q', cstring(q)))
						time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
						tx.heard = "left"
						leave()
						break
					}
					words, err := p.query(q, 25*time.Second)
					tx.heard = strings.Join(words, ", ")
					if err != nil {
						tx.heard = "connection " + err.Error()
						leave()
						break
					}
					if len(words) == 0 {
						fault("client %d: no answer to %s", i, q)
					}
					if last := words[len(words)-1]; strings.HasPrefix(last, "error ") {
						tx.heard = last
						if last == "error 57014" {
							fault("client %d: its statement was cancelled by somebody: %s", i, q)
						}
						if _, err := p.query("ROLLBACK", 25*time.Second); err != nil {
							leave()
						}
						break
					}
				}
				mu.Lock()
				done = append(done, tx)
				if strings.HasSuffix(tx.heard, "COMMIT") || strings.HasSuffix(tx.heard, "INSERT 0 1") {
					committed++
				}
				mu.Unlock()
			}
		})
	}
	for range 4 { // clients that cancel their own statements, at any time
		all.Go(func() {
			for time.Now().Before(stop) {
				p, err := dialPG(listen)
				if err != nil {
					continue
				}
				for range 5 {
					_, _ = p.c.Write(pgMessage(nil, 'Q', cstring("SELECT slow FROM stock_17.moves")))
					time.Sleep(time.Duration(rand.IntN(350)) * time.Millisecond)
					if c, err := net.Dial("tcp", listen); err == nil && len(p.key) == 8 {
						_, _ = c.Write(append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 16), 80877102), bytes.Clone(p.key)...))
						c.Close()
					}
					words, err := p.answer(10 * time.Second)
					if err != nil {
						break
					}
					if len(words) > 0 && words[0] == "error 57014" {
						mu.Lock()
						cancelled++
						mu.Unlock()
					}
				}
				p.c.Close()
			}
		})
	}
	all.Wait()
	time.Sleep(time.Second)
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, tx := range done {
		times := 0
		for _, w := range tx.writes {
			if len(store.applied[w]) > 1 {
				fault("%s was committed at %v (heard %s)", w, store.applied[w], tx.heard)
			}
			times += len(store.applied[w])
		}
		good := strings.HasSuffix(tx.heard, "COMMIT") || strings.HasSuffix(tx.heard, "INSERT 0 1")
		switch {
		case times != 0 && times != len(tx.writes):
			fault("a half of %q was committed (heard %s)", tx.writes, tx.heard)
		case good && times == 0:
			fault("%q was answered %s and is lost", tx.writes, tx.heard)
		case times > 0 && (tx.heard == "error 40000" || tx.heard == "error 53000" || tx.heard == "error 58000"):
			fault("%q was answered %s and is committed", tx.writes, tx.heard)
		}
	}
	verdict(rec, broken, fmt.Sprintf("%d tried, %d committed, %d resets, %d cancelled", len(done), committed, resets.Load(), cancelled), committed > 20)
}
