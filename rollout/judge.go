package rollout

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mathext"
)

const (
	// tolerance is the share of bad answers by which a good version may exceed the old one.
	tolerance = 0.02
	// effect is the share of bad answers by which a bad version exceeds the upper bound of a
	// good one.
	effect = 0.1
	// baselineConfidence is the confidence of the upper bound of the old version's share of bad
	// answers.
	baselineConfidence = 0.95
	// priorBad and priorGood are the parameters of the beta distribution from which that bound
	// is computed without any answer.
	priorBad, priorGood = 0.5, 9.5
	// falseAlarmRate is the probability that one run of the test from zero rejects a good
	// version. A test that returns to zero begins another run.
	falseAlarmRate = 1e-6
	// missRate is the probability that a bad version is accepted by one test.
	missRate = 0.05
	// suspicionRate is the probability with which a good version is suspect in one run.
	suspicionRate = 0.05
	// maxTargetShare is the share of the bad answers that one target may have given: one faulty
	// target of several says nothing about their version.
	maxTargetShare = 0.6
	// minSpreadTargets is the number of targets that get requests from which on maxTargetShare
	// applies.
	minSpreadTargets = 3
)

// measure is what a test counts as a bad answer.
type measure string

const (
	failures measure = "failures"
	refusals measure = "refusals"
	slowness measure = "slow answers"
)

// allRoutes is the name under which the answers on all routes are tested together.
const allRoutes = "*"

type testKey struct {
	route   string
	measure measure
}

// test is a sequential probability ratio test of the hypothesis that the new version gives bad
// answers as rarely as the old one, against a share that is higher by effect.
type test struct {
	answers, bad int
	// against is the sum of the log-likelihood ratios, but not below zero (Page's cumulative
	// sum), so that a fault that begins late is found as fast as one from the start.
	against float64
	// sum is the sum of the log-likelihood ratios.
	sum float64
}

// observe adds the answers since the last call, given those of the old version. If the counts
// fell because the evidence of a daemon was lost, it starts from the lower ones.
func (t *test) observe(answers, bad, oldAnswers, oldBad int) {
	n, b := answers-t.answers, bad-t.bad
	t.answers, t.bad = answers, bad
	if n <= 0 || b < 0 || b > n {
		return
	}
	good := baseline(oldAnswers, oldBad)
	limit := min(good+effect, 0.99)
	ratio := float64(b)*math.Log(limit/good) + float64(n-b)*math.Log((1-limit)/(1-good))
	t.sum += ratio
	t.against = max(t.against+ratio, 0)
}

// baseline returns the share of bad answers that a good version may have.
func baseline(answers, bad int) float64 {
	bound := mathext.InvRegIncBeta(priorBad+float64(bad), priorGood+float64(answers-bad), baselineConfidence)
	return min(bound+tolerance, 0.85)
}

func (t *test) rejected() bool { return t.against >= math.Log(1/falseAlarmRate) }

func (t *test) suspect() bool { return t.against >= math.Log(1/suspicionRate) }

func (t *test) accepted() bool { return t.sum <= -math.Log(1/missRate) && !t.suspect() }

// Judge tests a new version against the old one on each route and on all together. The zero
// value is ready to use. It answers loads from a request a minute to thousands a second: each
// verdict comes as soon as the answers suffice for its error rate.
type Judge struct{ tests map[testKey]*test }

// Verdict is what the evidence says about the new version.
type Verdict string

// Verdicts on a version.
const (
	Undecided Verdict = "undecided"
	Suspect   Verdict = "suspect" // more bad answers than expected, too few to reject the version
	Good      Verdict = "good"    // as good as the old version on each route
	Bad       Verdict = "bad"
)

// Finding is a verdict with its reason.
type Finding struct {
	Verdict Verdict
	Reason  string
}

// Observe adds evidence, of the whole fleet since the order, and returns the verdict. Evidence
// grows from call to call. Targets is the number of new targets that get requests.
func (j *Judge) Observe(e Evidence, targets int) Finding {
	if j.tests == nil {
		j.tests = map[testKey]*test{}
	}
	routes := []string{}
	var oldAll, newAll Sample
	for route, old := range e.Old {
		routes = append(routes, route)
		oldAll = oldAll.plus(old)
	}
	for route, fresh := range e.New {
		if _, ok := e.Old[route]; !ok {
			routes = append(routes, route)
		}
		newAll = newAll.plus(fresh)
	}
	slices.Sort(routes)
	for _, route := range routes {
		j.observe(route, e.New[route], e.Old[route])
	}
	j.observe(allRoutes, newAll, oldAll)
	return j.finding(append(routes, allRoutes), targets < minSpreadTargets || spread(e.Targets))
}

func (j *Judge) observe(route string, fresh, old Sample) {
	j.test(route, failures).observe(fresh.Answers, fresh.Failures, old.Answers, old.Failures)
	j.test(route, refusals).observe(fresh.Answers+fresh.Refusals, fresh.Refusals, old.Answers+old.Refusals, old.Refusals)
	j.test(route, slowness).observe(fresh.Timed, fresh.Slow, old.Timed, old.Slow)
}

func (j *Judge) test(route string, m measure) *test {
	key := testKey{route, m}
	if j.tests[key] == nil {
		j.tests[key] = &test{}
	}
	return j.tests[key]
}

func (j *Judge) finding(routes []string, spread bool) Finding {
	f := Finding{Verdict: Good}
	for _, route := range routes {
		for _, m := range []measure{failures, refusals, slowness} {
			t := j.test(route, m)
			reason := fmt.Sprintf("%d %s in %d answers on route %s", t.bad, m, t.answers, route)
			switch {
			case t.rejected() && spread:
				return Finding{Bad, reason}
			case t.suspect() && spread:
				f = Finding{Suspect, reason}
			case !t.accepted() && f.Verdict == Good && route != allRoutes:
				f = Finding{Undecided, reason}
			}
		}
	}
	return f
}

// spread reports whether the bad answers come from more than one target.
func spread(targets map[string]int) bool {
	sum, most := 0, 0
	for _, bad := range targets {
		sum += bad
		most = max(most, bad)
	}
	return float64(most) <= maxTargetShare*float64(sum)
}
