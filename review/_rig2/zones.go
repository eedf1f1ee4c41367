package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playZones: loads whose engines drop repeats within their hall only ("group": "zone") are at engines when the new
// process of an upgrade dies.
func playZones(r *rig) (broken []string) {
	const window = 12 * time.Second
	work := func(string, string) time.Duration { return time.Second }
	halls := map[string]*keyMemory{"hall-a": newKeyMemory(window), "hall-b": newKeyMemory(window)}
	var engines []*engine
	for i, hall := range []string{"hall-a", "hall-b", "hall-a", "hall-b", "hall-a", "hall-b"} {
		engines = append(engines, r.engine(fmt.Sprintf("e%d", i+1), hall, halls[hall], work))
	}
	catalogue := r.consul(engines...)
	r.write("settings.json", r.settings(func(s map[string]any) {
		for _, c := range s["classes"].([]any) {
			if class := c.(map[string]any); class["name"] == "load" {
				class["group"] = "zone"
			}
		}
	}))
	listen := r.freePort()
	postgres := r.write("postgres.toml", r.deployFile("postgres.toml", "listen =", `listen = "`+listen+`"`, "settings =", `settings = "settings.json"`,
		"address =", `address = "`+catalogue.addr+`"`))
	upgrade := r.write("upgrade.toml", r.deployFile("upgrade.toml", "admin =", `admin = "`+r.dir+`/admin.sock"`))
	gateway := r.run("gateway", "serve", "--log-format", "json", "--postgres", postgres, "--upgrade", upgrade)
	r.await(gateway, "serving", 10*time.Second, nil)
	time.Sleep(500 * time.Millisecond) // the catalogue has been read

	const loads = 12
	var clients []*client
	for range loads {
		clients = append(clients, r.client(listen))
	}
	r.run("upgrade", "upgrade", "--upgrade", upgrade)
	started := r.await(gateway, "upgrade.started", 10*time.Second, nil)
	target := int(started["pid"].(float64))
	r.await(gateway, "upgrade.phase", 10*time.Second, func(e map[string]any) bool { return e["phase"] == "probation" || e["phase"] == "proving" })
	time.Sleep(500 * time.Millisecond) // the connections have gone over to the new process

	answers := make([]answer, loads)
	var wg sync.WaitGroup
	for i, c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			key := fmt.Sprintf("batch-%02d", i+1)
			r.logf("client %d sends the load %s", i+1, key)
			answers[i] = c.execute("INSERT INTO stock_17.batches VALUES ($1, $2)", 25*time.Second, key, "rows")
			r.logf("client %d is told of %s: %v", i+1, key, answers[i])
		}()
	}
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		r.logf("the new process (pid %d) dies", target)
		if !ownProgram(target, r.dir) {
			r.giveUp("process %d is not the new process", target)
		}
		r.must(syscall.Kill(target, syscall.SIGKILL))
	}
	wg.Wait()
	time.Sleep(1500 * time.Millisecond) // what still runs ends
	for i := range loads {
		key := fmt.Sprintf("batch-%02d", i+1)
		times, where := 0, ""
		for _, e := range engines {
			if n := e.effects(key); n > 0 {
				times += n
				where += fmt.Sprintf(" %s (%s)", e.name, e.zone)
			}
		}
		r.logf("load %s: had its effect %d times:%s; its client was told: %v", key, times, where, answers[i])
		if times > 1 {
			broken = append(broken, fmt.Sprintf("the load %s ran %d times:%s", key, times, where))
		}
	}
	return broken
}
