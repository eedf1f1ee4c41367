package policy

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Gateway holds the state of one gateway process and makes its decisions. It is not safe for concurrent
// use.
type Gateway struct {
	settings Settings
	// classes and kinds hold the query classes and the machine kinds of the settings by name.
	classes map[string]*class
	kinds   map[string]Kind
	random  *rand.Rand

	// now and actions are the time and the collected actions of the current call of Handle.
	now     time.Duration
	actions []Action
	ticker  ticker

	engines     []*engine // in the order in which they were first listed
	enginesByID map[string]*engine
	queries     map[uint64]*query
	orderedKeys orderedKeys

	aggregate controller // the limit over all engines together
	slowStart slowStart
	// isListLost is set from a ListFailed until the next change or full list.
	isListLost bool
	tenants    tenantQuotas
	traffic    trafficShare
	retries    retryBudget
	dataSets   dataSetCounts

	// targetThreadsPerCore is the number of threads per core that an engine should run.
	targetThreadsPerCore float64
	// maxThreads is the thread count of the class that has the most threads.
	maxThreads float64
	// meanThreads is the moving average of the threads of the attempts sent.
	meanThreads float64
	// meanLogValue is the moving average, over arrivals, of the binary logarithm of priority weight over
	// expected work.
	meanLogValue float64
	// meanLoad is the moving average of the reported load of engines, in threads per core.
	meanLoad float64
	// silenceTimeout is the time without progress after which an attempt counts as silent. Where engines
	// report no progress, it is the longest latency objective and only sets the interval of trials.
	silenceTimeout time.Duration
	affinities     []uint64 // scratch space of minNearAffinity
}

// ticker is the state of the gateway's periodic timer.
type ticker struct {
	isRunning bool
	count     int           // ticks so far
	lastTick  time.Duration // time of the latest tick; 0: none
	// resumedAt is the end of the latest pause of the gateway process itself, detected by a late tick; 0:
	// none.
	resumedAt time.Duration
}

// tickToken is the token of the periodic timer.
const tickToken = 0

// queryToken returns the token of the timer that ends a query shortly before its deadline.
func queryToken(id uint64) uint64 { return id + 1 }

// queryFromToken is the inverse of queryToken.
func queryFromToken(token uint64) (id uint64) { return token - 1 }

// QueryOfTimer returns the query that a timer belongs to. The timer has no effect any more once the query is
// answered and none of its attempts is in flight. ok is false for a timer that belongs to no query.
func QueryOfTimer(token uint64) (id uint64, ok bool) {
	if token == tickToken {
		return 0, false
	}
	return queryFromToken(token), true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// New returns a gateway for the settings, or an error that wraps a *SettingsError. The seed initializes the
// generator of the gateway's random choices.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := validate(&s); err != nil {
		return nil, fmt.Errorf("policy: invalid settings: %w", err)
	}
	s.HonorsGrants = canUseGrants(&s)
	g := &Gateway{
		settings:             s,
		random:               rand.New(rand.NewPCG(seed, seed)),
		classes:              map[string]*class{},
		kinds:                map[string]Kind{},
		enginesByID:          map[string]*engine{},
		queries:              map[uint64]*query{},
		orderedKeys:          orderedKeys{queues: map[string]*keyQueue{}},
		slowStart:            newSlowStart(&s),
		tenants:              newTenantQuotas(s.Tenants),
		traffic:              newTrafficShare(&s),
		retries:              newRetryBudget(&s.Rules),
		dataSets:             dataSetCounts{counts: map[int64]float64{}},
		targetThreadsPerCore: engineThreadsPerCore(s.MemoryShortage),
		meanThreads:          1,
		silenceTimeout:       time.Duration(silenceIntervals * float64(s.ProgressInterval)),
	}
	for _, settings := range s.Classes {
		c := newClass(settings)
		g.classes[c.Name] = c
		g.maxThreads = max(g.maxThreads, c.Threads)
		if s.ProgressInterval == 0 {
			g.silenceTimeout = max(g.silenceTimeout, c.LatencyObjective)
		}
	}
	for _, kind := range s.Kinds {
		g.kinds[kind.Name] = kind
	}
	return g, nil
}

// Handle processes one event at the given time and appends the resulting actions to actions.
func (g *Gateway) Handle(now time.Duration, ev Event, actions []Action) []Action {
	g.now = max(now, g.now)
	g.actions = actions
	g.startTicker(now)
	switch ev := ev.(type) {
	case QueryArrived:
		g.handleArrival(ev)
	case AttemptEnded:
		g.endAttempt(ev)
	case LoadReportReceived:
		if e := g.enginesByID[ev.Engine]; e != nil {
			g.recordLoad(e, ev.Load)
		}
	case AttemptProgress:
		g.recordProgress(ev)
	case StreamStarted:
		if a := g.attempt(ev.Query, ev.Attempt); a != nil {
			a.streaming = true
			a.engine.health.lastHeard = g.now
		}
	case StreamContinued:
		if a := g.attempt(ev.Query, ev.Attempt); a != nil && !a.ended {
			g.recordSentWork(a)
		}
	case ClientDisconnected:
		if q := g.queries[ev.Query]; q != nil {
			g.endQuery(q)
		}
	case TimerFired:
		g.fireTimer(ev.Token)
	case EngineList:
		g.updateEngines(ev)
	}
	actions = g.actions
	g.actions = nil
	return actions
}

// startTicker starts the periodic timer with the first event, and subscribes to the engine list if the
// deployment requires it.
func (g *Gateway) startTicker(now time.Duration) {
	if g.ticker.isRunning {
		return
	}
	g.ticker.isRunning = true
	g.slowStart.startedAt = now
	g.emit(SetTimer{After: tickInterval, Token: tickToken})
	if g.settings.SubscribeToList {
		g.emit(Subscribe{})
	}
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// fireTimer runs a tick, or ends the query whose deadline is near unless a response is already being
// streamed to its client.
func (g *Gateway) fireTimer(token uint64) {
	if token == tickToken {
		g.tick()
		return
	}
	q := g.queries[queryFromToken(token)]
	if q != nil && !q.hasStreamInFlight() {
		g.answerWithoutResult(q)
	}
}

// tick checks the health of all engines and admits queries whose turn has come. At the end of each control
// period it also runs the concurrency controllers.
func (g *Gateway) tick() {
	g.emit(SetTimer{After: tickInterval, Token: tickToken})
	if g.now-g.ticker.lastTick > 2*tickInterval {
		g.ticker.resumedAt = g.now
	}
	g.ticker.lastTick = g.now
	for _, e := range g.engines {
		g.detectSilence(e)
	}
	g.admitWaiting()
	g.ticker.count++
	if g.ticker.count%ticksPerPeriod == 0 {
		g.traffic.endPeriod(g.ticker.count, len(g.queries), len(g.engines))
		g.runControllers()
	}
}
