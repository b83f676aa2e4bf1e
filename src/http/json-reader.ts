/** Typed access to parsed JSON; errors name the field. */

/** A body does not match its protocol; the message names the field. */
export class MalformedBodyError extends Error {}

export class JsonReader {
  private constructor(
    private readonly value: unknown,
    private readonly path: string,
  ) {}

  /** @throws MalformedBodyError when the text is not a JSON object */
  static parse(text: string): JsonReader {
    let value: unknown;
    try {
      value = JSON.parse(text);
    } catch (cause) {
      throw new MalformedBodyError('not JSON', { cause });
    }
    return new JsonReader(value, 'body').requireObject();
  }

  has(name: string): boolean {
    return this.field(name) !== undefined && this.field(name) !== null;
  }

  text(name: string): string {
    const value = this.field(name);
    if (typeof value !== 'string') throw this.fieldError(name, 'is not a string');
    return value;
  }

  number(name: string): number {
    const value = this.field(name);
    if (typeof value !== 'number' || !Number.isFinite(value)) {
      throw this.fieldError(name, 'is not a number');
    }
    return value;
  }

  numberOr(name: string, fallback: number): number {
    return this.has(name) ? this.number(name) : fallback;
  }

  flag(name: string): boolean {
    return this.has(name) && this.field(name) === true;
  }

  object(name: string): JsonReader {
    return new JsonReader(this.field(name), `${this.path}.${name}`).requireObject();
  }

  list(name: string): JsonReader[] {
    const value = this.field(name);
    if (!Array.isArray(value)) throw this.fieldError(name, 'is not an array');
    return value.map((item, index) =>
      new JsonReader(item, `${this.path}.${name}[${index}]`).requireObject(),
    );
  }

  texts(name: string): string[] {
    const value = this.field(name);
    const isStringArray = Array.isArray(value) && value.every((item) => typeof item === 'string');
    if (!isStringArray) throw this.fieldError(name, 'is not an array of strings');
    return value as string[];
  }

  numbers(name: string): number[] {
    const value = this.field(name);
    const isNumberArray = Array.isArray(value) && value.every((item) => typeof item === 'number');
    if (!isNumberArray) throw this.fieldError(name, 'is not an array of numbers');
    return value as number[];
  }

  private field(name: string): unknown {
    return (this.value as Readonly<Record<string, unknown>>)[name];
  }

  private requireObject(): this {
    const isObject =
      typeof this.value === 'object' && this.value !== null && !Array.isArray(this.value);
    if (!isObject) throw new MalformedBodyError(`${this.path} is not an object`);
    return this;
  }

  private fieldError(name: string, problem: string): MalformedBodyError {
    return new MalformedBodyError(`${this.path}.${name} ${problem}`);
  }
}
