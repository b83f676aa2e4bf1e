/** Stands in for undici's HTTP/2 client: connections to back ends speak HTTP/1.1 only. */
export default function connectH2() {
  throw new Error('HTTP/2 is not part of this program');
}
