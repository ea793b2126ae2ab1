package pimento

import "context"

// The keys of the objects that the system keeps in the platform.
const (
	ObjectConfig        = "Config"
	ObjectPlan          = "Plan"
	ObjectProcessPrefix = "Process/"
)

// Object is a value with the version that the platform gave it. Versions of
// one key only grow; zero means that the object does not exist.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Platform is the object API. All methods return *UnreachableError where no
// answer arrived; then a write may have taken effect.
type Platform interface {
	// Get returns an object, or *NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// Put replaces the object if it stands at version based (zero: does not
	// exist) and returns the new version, or *ConflictError.
	Put(ctx context.Context, key string, based uint64, value []byte) (uint64, error)
	// Delete removes the object if it stands at version based.
	Delete(ctx context.Context, key string, based uint64) error
	// List returns all objects whose key starts with prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object's version exceeds after and returns it.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
	// Hosts returns the names of the hosts the platform believes to be live.
	// The list lags.
	Hosts(ctx context.Context) ([]HostName, error)
}
