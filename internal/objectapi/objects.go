package objectapi

// Objects reads and writes single objects. Client implements it.
type Objects interface {
	Get(kind, name string) (Object, error)
	Create(kind, name string, value []byte) (uint64, error)
	Update(kind, name string, value []byte, expect uint64) (uint64, error)
}
