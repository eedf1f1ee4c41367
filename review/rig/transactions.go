package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// transactions runs an upgrade under clients that write in transactions, and kills the new process in its probation.
func transactions(rec *recorder, trouble bool) {
	const clients = 8
	dir := tempDir()
	store := &pgStore{applied: map[string][]string{}}
	engines := map[string]string{}
	for _, name := range []string{"e1", "e2"} {
		e := &pgEngine{name: name, store: store, rec: rec, commit: 400 * time.Millisecond, write: 20 * time.Millisecond}
		engines[name] = e.listen()
	}
	listen, admin := freeAddress(), filepath.Join(dir, "admin")
	copyWith("deploy/postgres-settings.json", filepath.Join(dir, "postgres-settings.json"))
	copyWith("deploy/postgres.toml", filepath.Join(dir, "postgres.toml"),
		"listen = ", fmt.Sprintf("listen = %q", listen), "address = ", fmt.Sprintf("address = %q", newConsul("stock-engine", engines).addr))
	copyWith("deploy/upgrade.toml", filepath.Join(dir, "upgrade.toml"), "admin = ", fmt.Sprintf("admin = %q", admin))
	g := startGateway(fmt.Sprintf("exec bin/gateway serve --postgres %s/postgres.toml --upgrade %s/upgrade.toml", dir, dir), nil)
	g.await("serving", 10*time.Second, nil)
	time.Sleep(500 * time.Millisecond) // the engines are listed

	var mu sync.Mutex
	var broken []string
	fault := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		text := fmt.Sprintf(format, args...)
		broken = append(broken, text)
		rec.log("FAULT %s", text)
	}
	heard := map[string]string{} // what the client heard of its COMMIT, by the text of the transaction's write
	committedOK := 0
	stop := time.Now().Add(9 * time.Second)
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			var p *pgClient
			defer func() {
				if p != nil {
					p.c.Close()
				}
			}()
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
				write := fmt.Sprintf("INSERT INTO stock_17.moves VALUES ('t%d-%d')", i, n)
				for _, q := range []struct{ text, tag string }{{"BEGIN", "BEGIN"}, {write, "INSERT 0 1"}, {"COMMIT", "COMMIT"}} {
					rec.log("client %d sends %s", i, q.text)
					words, err := p.query(q.text, 25*time.Second)
					rec.log("client %d hears %q %v", i, words, err)
					if q.text == "COMMIT" {
						mu.Lock()
						heard[write] = fmt.Sprint(words, err)
						if len(words) == 1 && words[0] == "COMMIT" {
							committedOK++
						}
						mu.Unlock()
					}
					if err == nil && len(words) == 1 && strings.HasPrefix(words[0], "error ") {
						_, err = p.query("ROLLBACK", 25*time.Second)
						if err == nil {
							break
						}
					}
					if err != nil { // the connection has ended: the outcome is unknown, and nothing is tried again
						p.c.Close()
						p = nil
						break
					}
					if len(words) != 1 || words[0] != q.tag {
						fault("client %d sent %s and heard %q", i, q.text, words)
						more, err := p.leftOver(2 * time.Second) // it waits for the answer that belongs to its query
						rec.log("client %d hears then %q %v", i, more, err)
						p.c.Close()
						p = nil
						break
					}
				}
				if p == nil {
					continue
				}
				if words, _ := p.leftOver(time.Millisecond); len(words) > 0 {
					fault("client %d heard %q although it had sent nothing", i, words)
					p.c.Close()
					p = nil
				}
			}
		})
	}
	time.Sleep(time.Second)
	upgrade := exec.Command("bin/gateway", "upgrade", "--upgrade", filepath.Join(dir, "upgrade.toml"))
	upgraded := make(chan string, 1)
	go func() {
		out, err := upgrade.CombinedOutput()
		upgraded <- fmt.Sprintf("%s(%v)", out, err)
	}()
	pid := int(g.await("upgrade.started", 10*time.Second, nil)["pid"].(float64))
	onExit(func() { _ = syscall.Kill(pid, syscall.SIGKILL) })
	g.await("upgrade.phase", 10*time.Second, func(m map[string]any) bool { return m["phase"] == "probation" })
	rec.log("the new process %d is in its probation", pid)
	if trouble {
		time.Sleep(1500 * time.Millisecond)
		rec.log("TROUBLE the new process %d dies (SIGKILL)", pid)
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	rec.log("gateway upgrade: %s", strings.ReplaceAll(<-upgraded, "\n", "; "))
	all.Wait()
	time.Sleep(time.Second) // what is at the engines ends

	store.mu.Lock()
	defer store.mu.Unlock()
	for text, times := range store.applied {
		if len(times) > 1 {
			fault("%s was committed %d times, at %v; its client heard %s", text, len(times), times, heard[text])
		}
	}
	for text, word := range heard {
		if word == "[COMMIT] <nil>" && len(store.applied[text]) == 0 {
			fault("%s was reported as committed and never was", text)
		}
	}
	verdict(rec, broken, fmt.Sprintf("%d transactions were answered COMMIT", committedOK), committedOK >= clients)
}

// verdict ends the run.
func verdict(rec *recorder, broken []string, summary string, enough bool) {
	rec.log("%s; %d faults", summary, len(broken))
	fmt.Printf("%s; %d faults\n", summary, len(broken))
	for i, text := range broken {
		if i < 10 {
			fmt.Println(text)
		}
	}
	switch {
	case len(broken) > 0:
		exit(1)
	case !enough:
		giveUp("too little was played: %s", summary)
	}
	exit(0)
}
