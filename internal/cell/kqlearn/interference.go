package kqlearn

// Pair names a class of service and a family of batch work that share hosts.
type Pair struct {
	// Class is the class of service.
	Class string
	// Family is the family of batch work.
	Family string
}

const (
	// priorPrecision is how much evidence the prior of no slowdown counts for.
	priorPrecision = 2.0
	// forget is the share of the evidence that each new one replaces.
	forget = 0.01
	// step is the share of an error that one measurement corrects.
	step = 0.3
)

// Presence is one family at work on a host.
type RunningFamily struct {
	// Family is the family.
	Family string
	// Processors is the processors granted to it, after throttling.
	Processors float64
}

// Interference estimates, for each pair, the slowdown that one processor of
// the family adds to the class. The zero value knows nothing.
type FamilyInterference struct {
	pairs map[Pair]*estimate
}

type estimate struct {
	perProcessor float64
	evidence     float64
}

// Learn attributes a measured slowdown of a class (0.2 is a fifth) to the
// families that were at work when it was measured, by a normalised gradient
// step that is shrunk while there is little evidence.
func (i *FamilyInterference) Learn(class string, slowdown float64, present []RunningFamily) {
	expected, norm := 0.0, 0.0
	for _, p := range present {
		expected += i.SlowdownPerProcessor(class, p.Family) * p.Processors
		norm += p.Processors * p.Processors
	}
	if norm == 0 {
		return
	}
	miss := slowdown - expected
	for _, p := range present {
		e := i.pair(Pair{class, p.Family})
		e.evidence = e.evidence*(1-forget) + p.Processors
		weight := e.evidence / (e.evidence + priorPrecision)
		e.perProcessor = max(0, e.perProcessor+step*weight*miss*p.Processors/norm)
	}
}

func (i *FamilyInterference) pair(p Pair) *estimate {
	if i.pairs == nil {
		i.pairs = map[Pair]*estimate{}
	}
	e := i.pairs[p]
	if e == nil {
		e = &estimate{}
		i.pairs[p] = e
	}
	return e
}

// PerProcessor returns the estimated slowdown for one processor of a family.
func (i *FamilyInterference) SlowdownPerProcessor(class, family string) float64 {
	if e, ok := i.pairs[Pair{class, family}]; ok {
		return e.perProcessor
	}
	return 0
}
