package fleet

import "time"

// BackendServer is one server of one service.
type BackendServer struct {
	name          string
	service       string
	address       string
	failureDomain string
	kvTokens      int
	maxBatch      int
	decodeStep    time.Duration
	models        []string
	modelSlots    int
	checksFence   bool
	draining      bool
}

// Name returns the name of the backend server.
func (b *BackendServer) Name() string { return b.name }

// Service returns the name of the service that it serves.
func (b *BackendServer) Service() string { return b.service }

// Address returns HOST:PORT.
func (b *BackendServer) Address() string { return b.address }

// FailureDomain returns where the server stands.
func (b *BackendServer) FailureDomain() string { return b.failureDomain }

// KVTokens returns the memory for running streams, in tokens.
func (b *BackendServer) KVTokens() int { return b.kvTokens }

// MaxBatch returns the greatest number of streams decoded together.
func (b *BackendServer) MaxBatch() int { return b.maxBatch }

// DecodeStep returns the time of one token for a small batch.
func (b *BackendServer) DecodeStep() time.Duration { return b.decodeStep }

// Models returns the models that the server holds. The slice is read only.
func (b *BackendServer) Models() []string { return b.models }

// ChecksFence reports whether the server refuses orders of an old lease holder.
func (b *BackendServer) ChecksFence() bool { return b.checksFence }

// Draining reports whether operators take the server out of use.
func (b *BackendServer) Draining() bool { return b.draining }

// ModelSlots returns how many models the server can hold at once.
func (b *BackendServer) ModelSlots() int { return b.modelSlots }
