package kqlearn

// ClassFamily identifies a class of service and a family of batch work colocated with it.
type ClassFamily struct {
	// Class names the class of service.
	Class string
	// Family names the family of batch work.
	Family string
}

const (
	// priorEvidence is the weight of the prior that a family causes no slowdown, in
	// processors.
	priorEvidence = 2.0
	// evidenceDecay is the share of the earlier evidence that each measurement removes.
	evidenceDecay = 0.01
	// learningRate is the share of an error that one measurement corrects.
	learningRate = 0.3
)

// RunningFamily is a family with a running task on a host.
type RunningFamily struct {
	// Family names the family.
	Family string
	// Processors is the number of processors granted to it, after throttling.
	Processors float64
}

// FamilyInterference estimates, for each class of service and family of batch work, the
// slowdown that one processor of the family adds to the class. The zero value is ready to use
// and estimates no slowdown.
type FamilyInterference struct {
	estimates map[ClassFamily]*estimate
}

type estimate struct {
	slowdownPerProcessor float64
	evidence             float64
}

// Learn attributes a measured slowdown of a class (0.2 is a fifth) to the families that ran
// during the measurement. It makes a normalised gradient step, which is smaller while there is
// little evidence.
func (i *FamilyInterference) Learn(class string, slowdown float64, running []RunningFamily) {
	expected, squaredNorm := 0.0, 0.0
	for _, f := range running {
		expected += i.SlowdownPerProcessor(class, f.Family) * f.Processors
		squaredNorm += f.Processors * f.Processors
	}
	if squaredNorm == 0 {
		return
	}
	residual := slowdown - expected
	for _, f := range running {
		e := i.estimateOf(ClassFamily{class, f.Family})
		e.evidence = e.evidence*(1-evidenceDecay) + f.Processors
		weight := e.evidence / (e.evidence + priorEvidence)
		e.slowdownPerProcessor = max(0, e.slowdownPerProcessor+learningRate*weight*residual*f.Processors/squaredNorm)
	}
}

func (i *FamilyInterference) estimateOf(key ClassFamily) *estimate {
	if i.estimates == nil {
		i.estimates = map[ClassFamily]*estimate{}
	}
	e := i.estimates[key]
	if e == nil {
		e = &estimate{}
		i.estimates[key] = e
	}
	return e
}

// SlowdownPerProcessor returns the estimated slowdown that one processor of a family adds to a
// class.
func (i *FamilyInterference) SlowdownPerProcessor(class, family string) float64 {
	if e, ok := i.estimates[ClassFamily{class, family}]; ok {
		return e.slowdownPerProcessor
	}
	return 0
}
