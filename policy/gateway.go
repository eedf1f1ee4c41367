package policy

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Gateway makes the decisions of one gateway process. It is not safe for concurrent use.
type Gateway struct {
	settings Settings
	classes  map[string]*class
	kinds    map[string]Kind
	random   *rand.Rand

	// now and actions are those of the call of Handle that is under way.
	now     time.Duration
	actions []Action
	ticker  ticker

	engines     []*engine // in the order of their first sight
	enginesByID map[string]*engine
	queries     map[uint64]*query
	orderedKeys orderedKeys

	aggregate controller // over all engines
	slowStart slowStart
	tenants   tenantQuotas
	traffic   trafficShare
	retries   retryBudget
	dataSets  dataSetCounts

	threadsPerCore float64 // that an engine should hold
	maxThreads     float64 // of the class with the most
	meanThreads    float64 // of the attempts sent
	meanLogValue   float64 // binary logarithm of priority weight over expected work, of arrivals
	meanLoad       float64 // reported threads per core
	silenceTimeout time.Duration
	affinities     []uint64 // scratch space of minNearAffinity
}

// ticker keeps the time of the gateway's own timer.
type ticker struct {
	isRunning bool
	count     int
	latest    time.Duration
	// resumedAt is the end of this gateway's own latest pause, as a late tick shows it.
	resumedAt time.Duration
}

// tickToken is the token of the timer that ticks.
const tickToken = 0

// queryToken is the token of the timer that ends a query before its deadline.
func queryToken(id uint64) uint64 { return id + 1 }

func queryOfToken(token uint64) (id uint64) { return token - 1 }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// New returns a gateway for the settings, or a *SettingsError. The seed is that of its random choices.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := validate(&s); err != nil {
		return nil, fmt.Errorf("policy: settings: %w", err)
	}
	s.HonorsGrants = honorsGrants(&s)
	g := &Gateway{
		settings:       s,
		random:         rand.New(rand.NewPCG(seed, seed)),
		classes:        map[string]*class{},
		kinds:          map[string]Kind{},
		enginesByID:    map[string]*engine{},
		queries:        map[uint64]*query{},
		orderedKeys:    orderedKeys{queues: map[string]*keyQueue{}},
		slowStart:      newSlowStart(&s),
		tenants:        newTenantQuotas(s.Tenants),
		traffic:        newTrafficShare(&s),
		retries:        newRetryBudget(&s.Rules),
		dataSets:       dataSetCounts{counts: map[int64]float64{}},
		threadsPerCore: engineThreadsPerCore(s.MemoryShortage),
		meanThreads:    1,
		silenceTimeout: time.Duration(silenceIntervals * float64(s.ProgressInterval)),
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

// Handle takes one event and appends the actions that it leads to.
func (g *Gateway) Handle(now time.Duration, ev Event, actions []Action) []Action {
	g.now = max(now, g.now)
	g.actions = actions
	g.begin(now)
	switch ev := ev.(type) {
	case QueryArrived:
		g.arrive(ev)
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

// begin starts the ticker with the first event.
func (g *Gateway) begin(now time.Duration) {
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

// fireTimer ticks, or ends a query before its deadline.
func (g *Gateway) fireTimer(token uint64) {
	if token == tickToken {
		g.tick()
		return
	}
	q := g.queries[queryOfToken(token)]
	if q != nil && !q.hasStreamInFlight() {
		g.answerWithoutResult(q)
	}
}

// tick checks the engines' health and, once in a control period, runs the controllers.
func (g *Gateway) tick() {
	g.emit(SetTimer{After: tickInterval, Token: tickToken})
	if g.now-g.ticker.latest > 2*tickInterval {
		g.ticker.resumedAt = g.now
	}
	g.ticker.latest = g.now
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
