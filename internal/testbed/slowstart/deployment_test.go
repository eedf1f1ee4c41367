package slowstart

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/enginemodel"
	"gannetspur/internal/testbed/harness"
	"gannetspur/internal/testbed/load"
)

// Parameters of a deployment and its traffic.
const (
	gatewayCount      = 3
	engineCount       = 7
	clientsPerGateway = 60 // more than the engines can serve at a time
	loadFraction      = 0.15
	meanLookupWork    = 300 * time.Millisecond
	meanLoadWork      = 600 * time.Millisecond // summed over the threads
	loadThreads       = 2
	requestTimeout    = 3 * time.Second
	refusalPause      = 100 * time.Millisecond // of a client after a refused request
)

// frontend is one of the two protocols that a gateway serves.
type frontend string

const (
	platformFrontend frontend = "platform"
	postgresFrontend frontend = "PostgreSQL"
)

// deployment is a set of gateway processes in front of emulated engines, with clients that keep all of them busy.
type deployment struct {
	t        *testing.T
	frontend frontend
	program  string
	cluster  *harness.Harness
	fleet    *emulator.Fleet // the engines of the frontend's protocol
	gateways []*gatewayProcess
	recorder *recorder
}

// gatewayProcess is one gateway and how it is started.
type gatewayProcess struct {
	addr    string
	args    []string
	log     *os.File
	process *harness.Gateway
}

// newDeployment starts the engines, the gateways and the clients. All stop at the end of the test.
func newDeployment(t *testing.T, program string, front frontend, seed uint64) *deployment {
	t.Helper()
	d := &deployment{t: t, frontend: front, program: program, recorder: newRecorder(seed)}
	dir := t.TempDir()
	var started int
	cluster, err := harness.New(harness.Options{
		Root: "../../..", Dir: dir, Engines: engineCount, HTTP: "127.0.0.1:0", Postgres: "127.0.0.1:0",
		Clients: 4 * clientsPerGateway, Log: slog.New(slog.DiscardHandler), QueryFor: d.recorder.queryFor,
		Machine: func(int) *emulator.Machine {
			started++
			return emulator.NewMachine(engineConfig())
		},
		Received: d.recorder.receive,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	d.cluster = cluster
	d.fleet = cluster.Lines
	if front == postgresFrontend {
		d.fleet = cluster.Postgres
	}
	for i := range gatewayCount {
		d.gateways = append(d.gateways, d.newGateway(dir, i))
	}
	for _, g := range d.gateways {
		d.startGateway(g)
	}
	d.startClients(seed)
	return d
}

// engineConfig is that of an engine that does not fail under too much work, so that all of it is counted.
func engineConfig() enginemodel.Config {
	config := enginemodel.Usual()
	config.OverloadWindow = 0
	return config
}

// newGateway writes the configuration of one gateway.
func (d *deployment) newGateway(dir string, number int) *gatewayProcess {
	t := d.t
	t.Helper()
	addr, err := harness.UnusedAddress()
	if err != nil {
		t.Fatal(err)
	}
	g := &gatewayProcess{addr: addr}
	name := fmt.Sprintf("gateway-%d", number)
	if g.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.log.Close() })
	path := filepath.Join(dir, name+".json")
	share := func(settings map[string]any) {
		settings["balancers"] = gatewayCount
		settings["rank"] = number
	}
	if d.frontend == platformFrontend {
		editJSON(t, d.cluster.Config, path, func(config map[string]any) {
			config["listen"] = addr
			config["seed"] = fmt.Sprintf("%x", number+1)
			share(config["settings"].(map[string]any))
		})
		g.args = []string{"-config", path}
		return g
	}
	editJSON(t, filepath.Join(dir, "postgres-settings.json"), path, share)
	raw, err := os.ReadFile(d.cluster.Deploy)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(`"127.0.0.1:0"`, fmt.Sprintf("%q", addr), `"postgres-settings.json"`, fmt.Sprintf("%q", name+".json")).Replace(string(raw))
	deploy := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(deploy, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	g.args = []string{"-postgres", deploy}
	return g
}

// editJSON writes a changed copy of a JSON file.
func editJSON(t *testing.T, from, to string, edit func(map[string]any)) {
	t.Helper()
	raw, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	var object map[string]any
	if err := json.Unmarshal(raw, &object); err != nil {
		t.Fatal(err)
	}
	edit(object)
	if raw, err = json.Marshal(object); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// startGateway starts a gateway process and waits until it listens.
func (d *deployment) startGateway(g *gatewayProcess) {
	d.t.Helper()
	process, err := harness.Start(d.program, g.log, g.args...)
	if err != nil {
		d.t.Fatal(err)
	}
	g.process = process
	d.t.Cleanup(func() { _ = process.Process.Kill() }) // fails only if it has ended
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := harness.WaitListening(ctx, g.addr); err != nil {
		d.t.Fatal(err)
	}
}

// restartGateway kills a gateway process and starts it again.
func (d *deployment) restartGateway(number int) {
	d.t.Helper()
	g := d.gateways[number]
	_ = g.process.Process.Kill()
	<-g.process.Ended //nolint:errcheck // the exit status of a killed process says nothing
	d.startGateway(g)
}

// pauseGateway stops a gateway process for a while, without its knowledge.
func (d *deployment) pauseGateway(number int, pause time.Duration) {
	process := d.gateways[number].process.Process
	_ = process.Signal(syscall.SIGSTOP) // fails only if the process has ended
	time.AfterFunc(pause, func() { _ = process.Signal(syscall.SIGCONT) })
}

// startClients starts the clients of all gateways. Each sends one request after another until the test ends.
func (d *deployment) startClients(seed uint64) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i, g := range d.gateways {
		for j := range clientsPerGateway {
			number := uint64(i*clientsPerGateway + j + 1)
			running.Go(func() { d.runClient(g.addr, seed, number, stop) })
		}
	}
	d.t.Cleanup(func() {
		close(stop)
		running.Wait()
	})
}

// runClient sends requests over one connection, which it opens again when it has ended.
func (d *deployment) runClient(addr string, seed, number uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, number))
	var client load.Client
	for n := 0; ; n++ {
		select {
		case <-stop:
			if client != nil {
				client.Close()
			}
			return
		default:
		}
		if client == nil {
			if client = d.dial(addr, number); client == nil {
				time.Sleep(refusalPause)
				continue
			}
		}
		kind := load.Lookup
		if random.Float64() < loadFraction {
			kind = load.Load
		}
		switch verdict, _ := client.Send(kind, fmt.Sprintf("%c-%d-%d", kind, number, n), nil, requestTimeout); verdict {
		case load.Served:
		case load.Reset, load.Silent, load.Corrupt:
			client.Close()
			client = nil
		default:
			time.Sleep(refusalPause)
		}
	}
}

// dial opens a client's connection. It returns nil if that fails.
func (d *deployment) dial(addr string, number uint64) load.Client {
	if d.frontend == platformFrontend {
		if client, err := load.DialHTTP(addr, number); err == nil {
			return client
		}
		return nil
	}
	if client, err := load.DialPostgres(addr); err == nil {
		return client
	}
	return nil
}
