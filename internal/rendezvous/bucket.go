package rendezvous

import "github.com/cespare/xxhash/v2"

// Bucket returns the bucket of a key, from 0 to buckets-1, by jump consistent hashing (Lamping and Veach, "A Fast, Minimal
// Memory, Consistent Hash Algorithm", 2014). When the number of buckets changes by one, only the share of one bucket moves.
func Bucket(key string, buckets int) int {
	const multiplier = 2862933555777941757
	hash := xxhash.Sum64String(key)
	bucket, next := int64(-1), int64(0)
	for next < int64(buckets) {
		bucket = next
		hash = hash*multiplier + 1
		next = int64(float64(bucket+1) * (float64(1<<31) / float64(hash>>33+1)))
	}
	return int(max(0, bucket))
}
