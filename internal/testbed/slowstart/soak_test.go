package slowstart

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

const (
	// soakSeeds is an environment variable with the number of seeds, for a long run by hand.
	soakSeeds = "RINGWOOD_SLOWSTART_SEEDS"
	// defaultSoakSeeds is the number of seeds without the variable.
	defaultSoakSeeds = 6
)

// drawRestart draws a restart with its faults.
func drawRestart(random *rand.Rand) restart {
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	one := func(probability float64) bool { return random.Float64() < probability }
	r := restart{
		down: between(100*time.Millisecond, 5*time.Second), untold: between(200*time.Millisecond, maxListDelay),
		killed: noGateway, paused: noGateway,
	}
	if one(0.5) {
		r.down = between(100*time.Millisecond, time.Second)
		r.untold = between(200*time.Millisecond, 2*time.Second)
	}
	if one(0.4) {
		r.start.ClockError = []time.Duration{-time.Hour, -20 * time.Second, -5 * time.Second, 5 * time.Second, time.Hour}[random.IntN(5)]
	}
	if one(0.4) {
		r.start.AcceptDelay = between(200*time.Millisecond, 1500*time.Millisecond)
	}
	if one(0.3) {
		r.killed = random.IntN(gatewayCount)
	}
	if one(0.3) {
		r.paused, r.pause = random.IntN(gatewayCount), between(200*time.Millisecond, 1500*time.Millisecond)
	}
	if one(0.25) {
		r.busSilence = between(time.Second, 9*time.Second)
	}
	if one(0.3) {
		r.secondAfter = between(time.Second, 10*time.Second)
	}
	return r
}

// TestSlowStartSoak guards against engines in slow start that get more than their budget when engines and gateways restart
// among random faults.
func TestSlowStartSoak(t *testing.T) {
	t.Parallel()
	seeds := defaultSoakSeeds
	if n, err := strconv.Atoi(os.Getenv(soakSeeds)); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		front := []frontend{platformFrontend, postgresFrontend}[seed%2]
		t.Run(fmt.Sprintf("%s, seed %d", front, seed), func(t *testing.T) {
			t.Parallel()
			r := drawRestart(rand.New(rand.NewPCG(seed, 54)))
			t.Logf("%+v", r)
			checkBudget(t, newDeployment(t, program, front, seed), r)
		})
	}
}
