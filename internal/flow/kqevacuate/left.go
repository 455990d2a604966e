package kqevacuate

// Left is what is still in an evacuated zone, as its owner knows.
type ZoneStatus struct {
	// Zone names the availability zone.
	Zone string `json:"zone"`
	// AgeSeconds is for how many seconds the owner has known of the request.
	AgeSeconds int64 `json:"age_seconds"`
	// Workers is how many workers are there.
	Workers int `json:"workers"`
	// Standing, Checkpointing and Ending are the tasks at work: those that stay, those
	// that end and have checkpoints, and the others.
	Standing      int `json:"standing"`
	Checkpointing int `json:"checkpointing"`
	Ending        int `json:"ending"`
	// Stopping is the tasks that are being stopped.
	Stopping int `json:"stopping"`
}

// Report is what is still in every evacuated zone.
type Report struct {
	// Zones is in order of the names; there may be none.
	Zones []ZoneStatus `json:"zones"`
}
