/** Replaces undici's HTTP/2 client in the bundle; backend connections use HTTP/1.1 only. */
export default function connectH2() {
  throw new Error('HTTP/2 client is not included in this bundle');
}
