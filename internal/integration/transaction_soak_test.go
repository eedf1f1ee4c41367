package integration

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	gosync "sync"
	"testing"
	"time"

	"gannetspur/internal/pgproto"
	"gannetspur/internal/testbed/emulator"
	"gannetspur/internal/testbed/transactions"
	"gannetspur/policy"
)

// soakSeconds is an environment variable with the seconds that the soak of each seed takes, for a long run by
// hand. soakSeeds is one with the number of seeds.
const (
	soakSeconds = "RINGWOOD_SOAK_SECONDS"
	soakSeeds   = "RINGWOOD_SOAK_SEEDS"
)

// soakSetting returns the number in an environment variable, or the default if there is none.
func soakSetting(name string, number int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return number
}

// cuttableListener is a listener whose connections can be cut.
type cuttableListener struct {
	net.Listener
	mu    gosync.Mutex
	conns []net.Conn
}

// Accept keeps the accepted connection for cut.
func (l *cuttableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
	}
	return conn, err
}

// cut closes one of the latest connections.
func (l *cuttableListener) cut(random *rand.Rand) {
	const latest = 12
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.conns[max(0, len(l.conns)-latest):]
	if len(recent) > 0 {
		_ = recent[random.IntN(len(recent))].Close()
	}
}

// soakEngine is an engine of the soak.
type soakEngine struct {
	addr     string
	listener *cuttableListener
}

// startSoakEngine starts an engine that takes some milliseconds, and fails some statements.
func startSoakEngine(t *testing.T, seed uint64, store *emulator.Store) soakEngine {
	t.Helper()
	const maxMilliseconds = 3
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	engine := soakEngine{ln.Addr().String(), &cuttableListener{Listener: ln}}
	var mu gosync.Mutex
	random := rand.New(rand.NewPCG(seed, 5))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	go emulator.Postgres(engine.listener, emulator.Options{
		Name: engine.addr, Store: store, Log: slog.New(slog.DiscardHandler),
		Work: func(string) (time.Duration, float64) {
			return time.Duration(draw(maxMilliseconds)) * time.Millisecond, 1
		},
		Heard: func(_, text string) {
			if strings.HasPrefix(text, "COMMIT") || strings.HasPrefix(text, "DISCARD") {
				time.Sleep(time.Duration(draw(maxMilliseconds)) * time.Millisecond)
			}
		},
		Fail: func(string) *pgproto.Error {
			code := map[int]string{0: "53200", 1: "XX000", 2: "40001"}[draw(60)]
			if code == "" {
				return nil
			}
			return &pgproto.Error{Severity: "ERROR", Code: code, Message: "the engine fails"}
		},
	})
	return engine
}

// disturb makes trouble at a random engine: it drains, departs, is disabled, or loses a connection. The first
// engine stays live.
func (g *gateway) disturb(random *rand.Rand, engines []soakEngine) {
	const maxPause = 60 * time.Millisecond
	victim := engines[1+random.IntN(len(engines)-1)]
	pause := func() { time.Sleep(time.Duration(random.Int64N(int64(maxPause)))) }
	switch random.IntN(5) {
	case 0:
		g.updateEngines(policy.EngineDraining, victim.addr)
	case 1:
		g.updateEngines(policy.EngineDeparted, victim.addr)
	case 2:
		g.do(func() { _ = g.core.DisableEngine("e" + victim.addr) })
		pause()
		g.do(func() { _ = g.core.EnableEngine("e" + victim.addr) })
	default:
		engines[random.IntN(len(engines))].listener.cut(random)
	}
	pause()
	g.updateEngines(policy.EngineLive, victim.addr)
}

// TestTransactionSoak guards against transactions that are split, doubled or reported wrongly, and against settings
// that leak, under trouble of all kinds together: clients with transactions and settings of their own cancel, fail
// and leave, while engines fail statements, lose connections, drain, depart and are disabled.
func TestTransactionSoak(t *testing.T) {
	const (
		clients         = 8
		engineCount     = 3
		minTransactions = 20 // committed, for each second and seed
	)
	seconds := soakSetting(soakSeconds, 3)
	for seed := range uint64(soakSetting(soakSeeds, 4)) {
		t.Run("seed "+strconv.FormatUint(seed, 10), func(t *testing.T) {
			store := emulator.NewStore()
			var engines []soakEngine
			g := newGateway(t, nil)
			g.pgOptions.DefaultClass, g.pgOptions.WriteClass = "lookup", "write"
			var addrs []string
			for i := range engineCount {
				engine := startSoakEngine(t, seed*engineCount+uint64(i), store)
				engines = append(engines, engine)
				addrs = append(addrs, engine.addr)
			}
			g.startPostgres(addrs...)
			history := &transactions.History{}
			stop := time.Now().Add(time.Duration(seconds) * time.Second)
			var running gosync.WaitGroup
			for i := range clients {
				running.Go(func() { transactions.NewClient(g.addr, i, seed, history).Run(stop) })
			}
			random := rand.New(rand.NewPCG(seed, 4))
			for time.Now().Before(stop) {
				g.disturb(random, engines)
			}
			running.Wait()
			time.Sleep(200 * time.Millisecond) // what is at the engines ends
			summary, problems := history.Verdict(store.Commits(), minTransactions*seconds)
			t.Log(summary)
			for _, problem := range problems {
				t.Error(problem)
			}
		})
	}
}
