package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// settings runs clients with a search_path of their own and clients without one, while one engine of eight fails: it answers
// every third SELECT with an error of its own.
func settings(rec *recorder, trouble bool) {
	dir := tempDir()
	store := &pgStore{applied: map[string][]string{}}
	engines := map[string]string{}
	start := time.Now()
	var selects atomic.Int64
	for i := range 8 {
		name := fmt.Sprintf("e%d", i+1)
		e := &pgEngine{name: name, store: store, rec: rec}
		if i == 0 && trouble {
			e.fails = func() bool { return time.Since(start) > 3*time.Second && selects.Add(1)%3 == 0 }
		}
		engines[name] = e.listen()
	}
	listen := freeAddress()
	copyWith("deploy/postgres-settings.json", filepath.Join(dir, "postgres-settings.json"))
	copyWith("deploy/postgres.toml", filepath.Join(dir, "postgres.toml"),
		"listen = ", fmt.Sprintf("listen = %q", listen), "address = ", fmt.Sprintf("address = %q", newConsul("stock-engine", engines).addr))
	g := startGateway(fmt.Sprintf("exec bin/gateway serve --postgres %s/postgres.toml", dir), nil)
	g.await("serving", 10*time.Second, nil)
	time.Sleep(500 * time.Millisecond) // the engines are listed

	var mu sync.Mutex
	var broken []string
	fault := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, fmt.Sprintf(format, args...))
		rec.log("FAULT "+format, args...)
	}
	right := 0
	stop := time.Now().Add(30 * time.Second)
	var all sync.WaitGroup
	for i, schema := range []string{"stock_17", "stock_18", "stock_19", "stock_20", "", "", "", ""} {
		all.Go(func() {
			p, err := dialPG(listen)
			must(err, "client")
			defer p.c.Close()
			want := "public"
			if schema != "" {
				words, err := p.query("SET search_path TO "+schema, 10*time.Second)
				rec.log("client %d sent SET search_path TO %s and heard %q %v", i, schema, words, err)
				if err != nil || len(words) != 1 || words[0] != "SET" {
					giveUp("SET: %q %v", words, err)
				}
				want = schema
			}
			for n := 0; time.Now().Before(stop); n++ {
				time.Sleep(time.Duration(37+7*i) * time.Millisecond)
				words, err := p.query(fmt.Sprintf("SELECT part FROM prices WHERE n = %d", n), 10*time.Second)
				rec.log("client %d (search_path %s) heard %q %v", i, want, words, err)
				switch {
				case err != nil:
					giveUp("client %d: %v", i, err)
				case len(words) == 2 && words[0] == "row "+want && words[1] == "SELECT 1":
					mu.Lock()
					right++
					mu.Unlock()
				case len(words) > 0 && strings.HasPrefix(words[0], "error "): // refused or failed: no data
				default:
					fault("client %d, whose search_path is %s, got %q", i, want, words)
				}
			}
		})
	}
	all.Wait()
	verdict(rec, broken, fmt.Sprintf("%d answers had the right rows", right), right > 100)
}
